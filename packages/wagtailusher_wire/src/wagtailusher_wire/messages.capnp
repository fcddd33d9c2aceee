@0xd2c1f3a95b7e4806;

# Field numbers are only appended to; a changed meaning raises the wire version.

enum MemberState {
  alive @0;
  leaving @1;
  suspect @2;
  dead @3;
  left @4;
}

struct Revision {
  epoch @0 :UInt64;
  number @1 :UInt64;
}

struct MemberUpdate {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt32;
  state @3 :MemberState;
  leaving @4 :Bool;
  address @5 :Text;
  peerAddress @6 :Text;
  failureDomainId @7 :Text;
  accuser @8 :Text;
}

struct Ping {
  sequence @0 :UInt64;
  target @1 :Text;
  revision @2 :Revision;
  updates @3 :List(MemberUpdate);
}

struct Ack {
  sequence @0 :UInt64;
  subject @1 :Text;
  revision @2 :Revision;
  updates @3 :List(MemberUpdate);
}

struct Nack {
  sequence @0 :UInt64;
  subject @1 :Text;
}

struct IndirectPing {
  sequence @0 :UInt64;
  target @1 :Text;
  targetAddress @2 :Text;
  updates @3 :List(MemberUpdate);
}

struct Gossip {
  updates @0 :List(MemberUpdate);
}

struct Leave {
  update @0 :MemberUpdate;
}

struct TableDigest {
  hashes @0 :List(UInt64);
  answer @1 :Bool;
}

struct ConfigurationAnnounce {
  revision @0 :Revision;
  digest @1 :UInt64;
  settled @2 :Bool;
  sequence @3 :UInt64;
}

struct ConfigurationQuery {
  revision @0 :Revision;
  sequence @1 :UInt64;
}

struct ContentRequest {
  have @0 :Revision;
  haveDigest @1 :UInt64;
  sequence @2 :UInt64;
}

struct DeltaStep {
  copyOffsetBytes @0 :UInt32;
  copyBytes @1 :UInt32;
  insert @2 :Data;
}

struct ContentAnswer {
  sequence @0 :UInt64;
  revision @1 :Revision;
  digest @2 :UInt64;
  base @3 :Revision;
  steps @4 :List(DeltaStep);
}

struct LeaseRequest {
  nodeId @0 :Text;
  endpointId @1 :Text;
  held @2 :UInt32;
  inFlight @3 :UInt32;
  demandByTier @4 :List(UInt32);
  sequence @5 :UInt64;
  confirms @6 :UInt64;
  suspectsCold @7 :Bool;
  goodFirstTokens @8 :UInt32;
  listVersion @9 :UInt64;
}

struct LeaseGrant {
  stewardId @0 :Text;
  endpointId @1 :Text;
  credits @2 :UInt32;
  lifetimeMs @3 :UInt32;
  cold @4 :Bool;
  sequence @5 :UInt64;
  stewardEpoch @6 :UInt64;
}

struct LeaseRecall {
  stewardId @0 :Text;
  nodeId @1 :Text;
  endpointId @2 :Text;
  stewardEpoch @3 :UInt64;
}

struct EndpointLoad {
  endpointId @0 :Text;
  ageMs @1 :UInt32;
  running @2 :UInt32;
  waiting @3 :UInt32;
  kvUsedPermille @4 :UInt32;
  cold @5 :Bool;
  incarnation @6 :UInt64;
}

struct LeaseBatch {
  requests @0 :List(LeaseRequest);
  grants @1 :List(LeaseGrant);
  recalls @2 :List(LeaseRecall);
  loads @3 :List(EndpointLoad);
}

struct BeatLoad {
  endpointId @0 :Text;
  requests @1 :UInt32;
  prefillTokens @2 :UInt32;
  memoryTokens @3 :UInt32;
  recentAnswers @4 :UInt32;
  recentFailures @5 :UInt32;
}

struct BeatRate {
  endpointId @0 :Text;
  promptTokensPerS @1 :UInt32;
  observations @2 :UInt32;
  quietGapMs @3 :UInt32;
  busyGapMs @4 :UInt32;
}

struct BeatPeer {
  vmId @0 :Text;
  peerAddress @1 :Text;
}

struct BeatQueue {
  queue @0 :Text;
  rank @1 :UInt32;
  waiting @2 :UInt32;
  oldestMs @3 :UInt32;
  started @4 :UInt32;
  asked @5 :UInt32;
}

struct WorkspaceWork {
  workspaceHash @0 :UInt32;
  asked @1 :UInt32;
  started @2 :UInt32;
}

struct BeatShares {
  service @0 :Text;
  rank @1 :UInt32;
  requests @2 :UInt32;
  asked @3 :UInt32;
  started @4 :UInt32;
  waited @5 :UInt32;
  workspaces @6 :List(WorkspaceWork);
}

struct Beat {
  address @0 :Text;
  viewAddress @1 :Text;
  failureDomainId @2 :Text;
  weight @3 :UInt32;
  isLeaving @4 :Bool;
  isReady @5 :Bool;
  viewRevision @6 :UInt64;
  viewAgeMs @7 :UInt32;
  loads @8 :List(BeatLoad);
  peers @9 :List(BeatPeer);
  relays @10 :Bool;
  relayed @11 :List(RelayedBeat);
  isToBeRelayed @12 :Bool;
  viewEpoch @13 :UInt64;
  takesForwarded @14 :Bool;
  unreachedServices @15 :List(Text);
  configurationVersion @16 :UInt64;
  queues @17 :List(BeatQueue);
  shares @18 :List(BeatShares);
  rates @19 :List(BeatRate);
}

struct RelayedBeat {
  address @0 :Text;
  viewAddress @1 :Text;
  failureDomainId @2 :Text;
  weight @3 :UInt32;
  isLeaving @4 :Bool;
  isReady @5 :Bool;
  viewRevision @6 :UInt64;
  viewAgeMs @7 :UInt32;
  loads @8 :List(BeatLoad);
  vmId @9 :Text;
  incarnation @10 :UInt64;
  peerAddress @11 :Text;
  ageMs @12 :UInt32;
  viewEpoch @13 :UInt64;
  takesForwarded @14 :Bool;
  unreachedServices @15 :List(Text);
  configurationVersion @16 :UInt64;
  queues @17 :List(BeatQueue);
  shares @18 :List(BeatShares);
  rates @19 :List(BeatRate);
}

struct StreamVersionRecord {
  streamId @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
  ageMs @3 :UInt32;
  lifetimeMs @4 :UInt32;
}

struct StreamVersionQuery {
  sequence @0 :UInt64;
  streamId @1 :Text;
}

struct StreamVersionAnswer {
  sequence @0 :UInt64;
  streamId @1 :Text;
  service @2 :Text;
  softwareVersion @3 :Text;
  ageMs @4 :UInt32;
  lifetimeMs @5 :UInt32;
}

struct QuarantineEntry {
  fingerprint @0 :Text;
  endpointIds @1 :List(Text);
  quarantined @2 :Bool;
  ageMs @3 :UInt32;
  carriers @4 :List(Text);
  hasBegun @5 :Bool;
  completed @6 :Bool;
  probes @7 :UInt32;
  idleMs @8 :UInt32 = 4294967295;
}

struct QuarantineSummary {
  entries @0 :List(QuarantineEntry);
}

struct LivenessEntry {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
  isResponsive @2 :Bool;
  silentMs @3 :UInt32;
}

struct LivenessSummary {
  entries @0 :List(LivenessEntry);
}

struct LimitEntry {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
  hasLimit @2 :Bool;
  limitPer1000S @3 :UInt32;
  ageMs @4 :UInt32;
}

struct LimitSummary {
  entries @0 :List(LimitEntry);
}

struct IncarnationNotice {
  vmId @0 :Text;
  incarnation @1 :UInt64;
}

struct StatementEntry {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
  statement @2 :Text;
  ageMs @3 :UInt32;
}

struct StatementSummary {
  entries @0 :List(StatementEntry);
}

struct ClassDemand {
  workspaceId @0 :Text;
  classId @1 :Text;
  queued @2 :UInt32;
  inFlight @3 :UInt32;
}

struct PoolDemand {
  poolId @0 :Text;
  queuedByTier @1 :List(UInt32);
  inFlightByTier @2 :List(UInt32);
  classes @3 :List(ClassDemand);
}

struct DemandSummary {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  ageMs @3 :UInt32;
  pools @4 :List(PoolDemand);
}

struct RoomSummary {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  ageMs @3 :UInt32;
  room @4 :UInt32;
  leaving @5 :Bool;
}

struct SummaryGossip {
  rooms @0 :List(RoomSummary);
  demands @1 :List(DemandSummary);
}

struct QuotaClaim {
  workspaceId @0 :Text;
  classId @1 :Text;
  quota @2 :UInt32;
  claim @3 :UInt32;
  held @4 :UInt32;
  grantSequence @5 :UInt64;
}

struct QuotaClaims {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  claims @3 :List(QuotaClaim);
}

struct QuotaGrant {
  workspaceId @0 :Text;
  classId @1 :Text;
  share @2 :UInt32;
}

struct QuotaGrants {
  keeperId @0 :Text;
  sequence @1 :UInt64;
  lifetimeMs @2 :UInt32;
  grants @3 :List(QuotaGrant);
}

struct EntryUpdate {
  endpointId @0 :Text;
  isRemoved @1 :Bool;
  expiresInMs @2 :UInt32;
  service @3 :Text;
  address @4 :Text;
  failureDomainId @5 :Text;
  slots @6 :UInt32;
  isDraining @7 :Bool;
  bornMs @8 :Int64;
  coldLeftMs @9 :UInt32;
  softwareVersion @10 :Text;
}

struct ViewChanges {
  afterRevision @0 :UInt64;
  revision @1 :UInt64;
  viewAgeMs @2 :UInt32;
  isComplete @3 :Bool;
  updates @4 :List(EntryUpdate);
  digest @5 :UInt64;
  configurationSteps @6 :List(DeltaStep);
  afterEpoch @7 :UInt64;
  epoch @8 :UInt64;
}
