"""Messages between the system's processes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import (
    ClassId,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    Revision,
    VmId,
    WorkspaceId,
)

NO_REVISION = Revision(epoch=0, number=0)


class MemberState(StrEnum):
    """What the fleet believes of a VM's process."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """One VM's state, as told by one that may have it from others.

    The version counts the member's own statements within one incarnation; the accuser is who
    missed an answer of a suspect.
    """

    vm_id: VmId
    incarnation: Incarnation
    version: int
    state: MemberState
    leaving: bool = False
    address: str = ""
    peer_address: str = ""
    failure_domain_id: FailureDomainId = FailureDomainId("")
    accuser: VmId = VmId("")


@dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Asks a member for an acknowledgement."""

    sequence: int
    target: VmId
    revision: Revision = NO_REVISION
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answers a ping; the subject is the member whose life it shows."""

    sequence: int
    subject: VmId
    revision: Revision = NO_REVISION
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Nack:
    """Tells that the relay lives but has no acknowledgement from the subject yet."""

    sequence: int
    subject: VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectPing:
    """Asks a member to ping another on the sender's behalf."""

    sequence: int
    target: VmId
    target_address: str
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Gossip:
    """Carries updates without asking for anything."""

    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Tells directly that the sender takes no new work, or is about to end."""

    update: MemberUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDigest:
    """Hashes of the sender's member table by bucket; the receiver answers where they differ."""

    hashes: tuple[int, ...]
    answer: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAnnounce:
    """The configuration that the sender holds; the digest is of its content."""

    revision: Revision
    digest: int
    settled: bool
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationQuery:
    """Asks for an announcement; carries what the sender holds or has heard of."""

    revision: Revision
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ContentRequest:
    """Asks for a configuration's content over a stream, as a delta where the base is kept."""

    have: Revision
    have_digest: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DeltaStep:
    """Copies a range of the base, then appends new bytes."""

    copy_offset_bytes: int
    copy_bytes: int
    insert: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ContentAnswer:
    """A configuration as steps over the base; a base without revision is empty."""

    sequence: int
    revision: Revision
    digest: int
    base: Revision
    steps: tuple[DeltaStep, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """Asks an endpoint's steward for concurrency."""

    node_id: VmId
    endpoint_id: EndpointId
    held: int
    in_flight: int
    demand_by_tier: tuple[int, ...]
    sequence: int
    confirms: int = 0
    suspects_cold: bool = False
    good_first_tokens: int = 0
    list_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseGrant:
    """Gives concurrency of one endpoint for a short time."""

    steward_id: VmId
    endpoint_id: EndpointId
    credits: int
    lifetime_ms: int
    cold: bool
    sequence: int
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecall:
    """Voids a lease on an endpoint that turned cold."""

    steward_id: VmId
    node_id: VmId
    endpoint_id: EndpointId
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """An endpoint's load as its steward polled it."""

    endpoint_id: EndpointId
    age_ms: int
    running: int
    waiting: int
    kv_used_permille: int
    cold: bool
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseBatch:
    """Several lease messages between two VMs, with the load of the granted endpoints."""

    requests: tuple[LeaseRequest, ...] = ()
    grants: tuple[LeaseGrant, ...] = ()
    recalls: tuple[LeaseRecall, ...] = ()
    loads: tuple[EndpointLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineEntry:
    """The endpoints that one request's fingerprint has crashed."""

    fingerprint: str
    endpoint_ids: tuple[EndpointId, ...]
    quarantined: bool
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSummary:
    """Requests that crash endpoints, as the sender knows them."""

    entries: tuple[QuarantineEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassDemand:
    """One class's requests at one VM."""

    workspace_id: WorkspaceId
    class_id: ClassId
    queued: int
    in_flight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """Requests for one pool at one VM, by tier and for the busiest classes."""

    pool_id: PoolId
    queued_by_tier: tuple[int, ...]
    in_flight_by_tier: tuple[int, ...]
    classes: tuple[ClassDemand, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandSummary:
    """One VM's demand; a higher sequence within an incarnation replaces a lower."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int
    age_ms: int
    pools: tuple[PoolDemand, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomSummary:
    """How many more requests one VM can take; for address answers."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int
    age_ms: int
    room: int
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class SummaryGossip:
    """Summaries of several VMs, the sender's own first."""

    rooms: tuple[RoomSummary, ...] = ()
    demands: tuple[DemandSummary, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaClaim:
    """What one VM wants of a class's fleet-wide quota, and the most that it may be using.

    The grant sequence is of the last grant that the VM took in.
    """

    workspace_id: WorkspaceId
    class_id: ClassId
    quota: int
    claim: int
    held: int
    grant_sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaClaims:
    """One VM's claims on the quotas that the receiver keeps."""

    node_id: VmId
    incarnation: Incarnation
    sequence: int
    claims: tuple[QuotaClaim, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """A part of a class's quota."""

    workspace_id: WorkspaceId
    class_id: ClassId
    share: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrants:
    """Answers claims; the lifetime counts from when they were sent."""

    keeper_id: VmId
    sequence: int
    lifetime_ms: int
    grants: tuple[QuotaGrant, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatLoad:
    """What the sender has in flight at one endpoint, and how its requests ended there lately."""

    endpoint_id: EndpointId
    requests: int
    prefill_tokens: int
    memory_tokens: int
    recent_answers: int = 0
    recent_failures: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatPeer:
    """A VM that the sender hears."""

    vm_id: VmId
    peer_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Beat:
    """Says that its sender lives, how it is reached, what it knows and what it has in flight."""

    address: str
    view_address: str
    failure_domain_id: FailureDomainId
    weight: int
    is_leaving: bool
    is_ready: bool
    view_revision: int
    view_age_ms: int
    loads: tuple[BeatLoad, ...] = ()
    peers: tuple[BeatPeer, ...] = ()


Message = (
    Ping
    | Ack
    | Nack
    | IndirectPing
    | Gossip
    | Leave
    | TableDigest
    | ConfigurationAnnounce
    | ConfigurationQuery
    | ContentRequest
    | ContentAnswer
    | LeaseRequest
    | LeaseGrant
    | QuarantineSummary
    | SummaryGossip
    | LeaseRecall
    | QuotaClaims
    | QuotaGrants
    | LeaseBatch
    | Beat
)

MESSAGE_TYPES: tuple[type[Message], ...] = (
    Ping,
    Ack,
    Nack,
    IndirectPing,
    Gossip,
    Leave,
    TableDigest,
    ConfigurationAnnounce,
    ConfigurationQuery,
    ContentRequest,
    ContentAnswer,
    LeaseRequest,
    LeaseGrant,
    QuarantineSummary,
    SummaryGossip,
    LeaseRecall,
    QuotaClaims,
    QuotaGrants,
    LeaseBatch,
    Beat,
)
"""In the order of their numbers on the wire; only appended to."""
