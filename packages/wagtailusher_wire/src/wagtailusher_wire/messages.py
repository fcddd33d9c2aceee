"""Messages between VMs."""

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
from wagtailusher_wire.delta import DeltaStep
from wagtailusher_wire.endpoint_messages import (
    LimitSummary,
    LivenessSummary,
    QuarantineSummary,
    StatementSummary,
)
from wagtailusher_wire.gateway_messages import (
    Beat,
    IncarnationNotice,
    StreamVersionAnswer,
    StreamVersionQuery,
    StreamVersionRecord,
    ViewChanges,
)

NO_REVISION = Revision(epoch=0, number=0)


class MemberState(StrEnum):
    """State of a VM's process as assumed by the fleet."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """State of one VM, reported by itself or passed on by another.

    The member raises the version with each update of its own within one incarnation. The accuser
    is the VM whose ping a suspect did not answer.
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
    """Answers a ping; the subject is the member that it shows to be alive."""

    sequence: int
    subject: VmId
    revision: Revision = NO_REVISION
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Nack:
    """Reports that the relay is alive but has no acknowledgement from the subject yet."""

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
    """Carries updates without requesting an answer."""

    updates: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Announces to a peer directly that the sender accepts no new work or is about to stop."""

    update: MemberUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class TableDigest:
    """Hashes of the sender's member table by bucket; the receiver answers where they differ."""

    hashes: tuple[int, ...]
    answer: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationAnnounce:
    """Announces the configuration that the sender holds, with a digest of its content."""

    revision: Revision
    digest: int
    settled: bool
    sequence: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationQuery:
    """Requests an announcement; carries a revision that the sender holds or has learned of."""

    revision: Revision
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ContentRequest:
    """Requests a configuration's content over a stream, as a delta if the base is available."""

    have: Revision
    have_digest: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ContentAnswer:
    """A configuration as steps applied to the base; NO_REVISION is the empty base."""

    sequence: int
    revision: Revision
    digest: int
    base: Revision
    steps: tuple[DeltaStep, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """Requests concurrency credits from an endpoint's steward."""

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
    """Grants concurrency credits of one endpoint for a limited time."""

    steward_id: VmId
    endpoint_id: EndpointId
    credits: int
    lifetime_ms: int
    cold: bool
    sequence: int
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecall:
    """Revokes a lease on an endpoint that became cold."""

    steward_id: VmId
    node_id: VmId
    endpoint_id: EndpointId
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoad:
    """An endpoint's load as polled by its steward."""

    endpoint_id: EndpointId
    age_ms: int
    running: int
    waiting: int
    kv_used_permille: int
    cold: bool
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseBatch:
    """Lease messages between two VMs, with the load of the granted endpoints."""

    requests: tuple[LeaseRequest, ...] = ()
    grants: tuple[LeaseGrant, ...] = ()
    recalls: tuple[LeaseRecall, ...] = ()
    loads: tuple[EndpointLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassDemand:
    """One class's requests at one VM."""

    workspace_id: WorkspaceId
    class_id: ClassId
    queued: int
    in_flight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolDemand:
    """Numbers of requests for one pool at one VM, by tier and for the busiest classes."""

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
    """How many more requests one VM can accept; used for the answers to address lookups."""

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
    """The part of a class's fleet-wide quota that one VM requests, and the most it may be using.

    The grant sequence is that of the last grant the VM applied.
    """

    workspace_id: WorkspaceId
    class_id: ClassId
    quota: int
    claim: int
    held: int
    grant_sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaClaims:
    """One VM's claims on the quotas that the receiver coordinates."""

    node_id: VmId
    incarnation: Incarnation
    sequence: int
    claims: tuple[QuotaClaim, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrant:
    """The part of a class's quota granted to a VM."""

    workspace_id: WorkspaceId
    class_id: ClassId
    share: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaGrants:
    """Answers quota claims; the lifetime counts from when the claims were sent."""

    keeper_id: VmId
    sequence: int
    lifetime_ms: int
    grants: tuple[QuotaGrant, ...]


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
    | StreamVersionRecord
    | StreamVersionQuery
    | StreamVersionAnswer
    | LivenessSummary
    | LimitSummary
    | StatementSummary
    | IncarnationNotice
    | ViewChanges
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
    StreamVersionRecord,
    StreamVersionQuery,
    StreamVersionAnswer,
    LivenessSummary,
    LimitSummary,
    StatementSummary,
    IncarnationNotice,
    ViewChanges,
)
"""Message types by their number on the wire; new types are only appended."""
