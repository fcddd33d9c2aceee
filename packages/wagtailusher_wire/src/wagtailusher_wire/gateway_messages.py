"""Messages between gateways."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId, FailureDomainId, Incarnation, VmId
from wagtailusher_wire.delta import DeltaStep


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatLoad:
    """The sender's load in flight at one endpoint and its recent results there."""

    endpoint_id: EndpointId
    requests: int
    prefill_tokens: int
    memory_tokens: int
    recent_answers: int = 0
    recent_failures: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatRate:
    """How fast an engine works, as the sender observed it lately; 0 for what it did not."""

    endpoint_id: EndpointId
    prompt_tokens_per_s: int
    observations: int
    """Answers that the rate stands for."""
    quiet_gap_ms: int
    """Time between two events while the engine reads no prompts."""
    busy_gap_ms: int
    """The same while it reads prompts all the time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatPeer:
    """A VM from which the sender receives heartbeats."""

    vm_id: VmId
    peer_address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatQueue:
    """What waits in one queue of the sender at one rank, and what started from it lately."""

    queue: str
    rank: int
    waiting: int
    oldest_ms: int
    """How long the request that came first has waited."""
    started: int
    """Requests that started lately, in thousandths; weighted by their age."""
    asked: int
    """Requests that arrived lately, in thousandths; weighted by their age."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceWork:
    """What one workspace asked for lately, and what was started for it."""

    workspace_hash: int
    asked: int
    started: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BeatShares:
    """The sender's recent work for one service at one rank, weighted by its age."""

    service: str
    rank: int
    requests: int
    """Number of requests that asked, in thousandths."""
    asked: int
    """Their work."""
    started: int
    waited: int
    """Work of those that had to wait, or were refused for lack of room."""
    workspaces: tuple[WorkspaceWork, ...] = ()
    """The workspaces that asked for most."""


@dataclass(frozen=True, slots=True, kw_only=True)
class VmReport:
    """A VM's addresses, state, view revision and load in flight."""

    address: str
    view_address: str
    failure_domain_id: FailureDomainId
    weight: int
    is_leaving: bool
    is_ready: bool
    view_revision: int
    view_age_ms: int
    """Age of the view when its VM sent the report."""
    loads: tuple[BeatLoad, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedBeat(VmReport):
    """Heartbeat of a VM in another failure domain, as the sender got it from that VM itself."""

    vm_id: VmId
    incarnation: Incarnation
    peer_address: str
    age_ms: int
    """Time since the sender got it."""
    view_epoch: int = 0
    """Epoch of the store to which the view's revision belongs."""
    takes_forwarded: bool = False
    """Whether the VM takes requests that peers hand on."""
    unreached_services: tuple[str, ...] = ()
    """Services of which the VM reaches no endpoint."""
    configuration_version: int = 0
    """Version of the configuration in force at the VM; 0 if it has none or is an older build."""
    queues: tuple[BeatQueue, ...] = ()
    """What waits at the VM; empty while nothing does, or if it is an older build."""
    shares: tuple[BeatShares, ...] = ()
    """Work of workspaces at the VM; empty unless they compete, or if it is an older build."""
    rates: tuple[BeatRate, ...] = ()
    """Rates of engines that the VM observed; empty if it observed none or is an older build."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Beat(VmReport):
    """Heartbeat of its sender, with a sample of the peers that the sender knows."""

    peers: tuple[BeatPeer, ...] = ()
    relays: bool = False
    """Whether the sender passes heartbeats on within its failure domain."""
    relayed: tuple[RelayedBeat, ...] = ()
    is_to_be_relayed: bool = False
    """Whether the receiver passes it on, as others in its failure domain don't get it."""
    view_epoch: int = 0
    """Epoch of the store to which the view's revision belongs."""
    takes_forwarded: bool = False
    """Whether the VM takes requests that peers hand on."""
    unreached_services: tuple[str, ...] = ()
    """Services of which the VM reaches no endpoint."""
    configuration_version: int = 0
    """Version of the configuration in force at the VM; 0 if it has none or is an older build."""
    queues: tuple[BeatQueue, ...] = ()
    """What waits at the VM; empty while nothing does, or if it is an older build."""
    shares: tuple[BeatShares, ...] = ()
    """Work of workspaces at the VM; empty unless they compete, or if it is an older build."""
    rates: tuple[BeatRate, ...] = ()
    """Rates of engines that the VM observed; empty if it observed none or is an older build."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamVersionRecord:
    """Tells a holder at which software version of a service a stream began."""

    stream_id: str
    """Identifier of the caller's attempt that brought the first event."""
    service: str
    software_version: str
    age_ms: int
    lifetime_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamVersionQuery:
    """Asks a holder at which software version a stream began."""

    sequence: int
    stream_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamVersionAnswer:
    """Answers a query; the version is empty if the holder has no record."""

    sequence: int
    stream_id: str
    service: str = ""
    software_version: str = ""
    age_ms: int = 0
    lifetime_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class IncarnationNotice:
    """Tells a VM that the receiver of its datagrams knows a newer incarnation of it."""

    vm_id: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryUpdate:
    """The state of an endpoint's entry after a change; of a removed one only the first fields."""

    endpoint_id: EndpointId
    is_removed: bool
    expires_in_ms: int = 0
    """Time after which a removed endpoint is left out, if its entry does not reappear."""
    service: str = ""
    address: str = ""
    failure_domain_id: FailureDomainId = FailureDomainId("")
    slots: int = 0
    is_draining: bool = False
    born_ms: int = 0
    cold_left_ms: int = 0
    software_version: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewChanges:
    """What a reader of the store read: all changes between two revisions, in their order."""

    after_revision: int
    revision: int
    view_age_ms: int
    """Time since the store confirmed the newer revision."""
    is_complete: bool
    """Whether the message holds all changes; otherwise the receiver has to read the store."""
    updates: tuple[EntryUpdate, ...] = ()
    digest: int = 0
    """Hash of the lines of the configuration after the changes."""
    configuration_steps: tuple[DeltaStep, ...] = ()
    """What turns the lines before the changes into these; empty if they are the same."""
    after_epoch: int = 0
    """Epoch of the store to which the revision before the changes belongs."""
    epoch: int = 0
    """Epoch of the store to which the newer revision belongs."""
