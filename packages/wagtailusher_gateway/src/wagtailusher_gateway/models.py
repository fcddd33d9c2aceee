"""Data types of the gateway: configuration, endpoints, members and the terms of a request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from wagtailusher_core import EndpointId, FailureDomainId, Revision, VmId, WorkspaceId


class Repeat(StrEnum):
    """How often a request may be run."""

    SAFE = "safe"
    """Any number of times."""
    ONCE = "once"
    """At most once for each attempt of a caller."""
    STREAM = "stream"
    """At most once, unless the route allows to resume."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Split:
    """The weight of one service in a route's traffic split."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route: which requests it matches, and the services and limits that apply to them.

    `rank` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    splits: tuple[Split, ...]
    timeout_ms: int
    target_ms: int
    rank: int
    max_attempts: int
    is_public: bool = False
    may_resume: bool = False
    pause_target_ms: int = 0
    """Longest gap between events with which a stream meets its target; 0 for no target."""

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may have run can be sent again from its start."""
        return self.repeat is Repeat.SAFE


@dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """The capacity of each engine of a service."""

    batch_requests: int
    memory_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A set of interchangeable endpoints."""

    name: str
    cold_requests_per_s: float = 0.0
    engine: Engine | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for callers' requests."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace; its rank, if set, overrides the ranks of routes."""

    workspace_id: WorkspaceId
    rank: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration; never replaced by an older one."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: Mapping[str, Workspace]
    """Workspaces by API key."""
    has_workspaces: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint, as stated in its entry in the store."""

    endpoint_id: EndpointId
    service: str
    address: str
    failure_domain_id: FailureDomainId
    slots: int
    is_draining: bool
    born_ms: int
    cold_until_ms: int
    """On the clock of the VM that holds the view; 0 when the endpoint is warm."""
    software_version: str = ""
    """Version of the endpoint's software, not of its model; empty if it is unknown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Removal:
    """The incarnation of an endpoint that was removed, and when."""

    born_ms: int
    removed_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """The state read from the platform, with the time at which it was last confirmed."""

    revision: int
    confirmed_ms: int
    configuration: Configuration | None
    endpoints: Mapping[EndpointId, Endpoint]
    evacuated: frozenset[FailureDomainId]
    lapsing_ms: Mapping[EndpointId, int] = field(default_factory=dict)
    """When to remove endpoints whose entries expired while the store may have been unavailable."""
    epoch: int = 0
    """Epoch of the store to which the revision belongs."""
    lapsing_evacuations_ms: Mapping[FailureDomainId, int] = field(default_factory=dict)
    """When to end evacuations that an older copy of the store does not have."""
    first_list: Revision = Revision()
    """The first list that was read in the epoch; entries up to it may be of an older copy."""
    removals: Mapping[EndpointId, Removal] = field(default_factory=dict)
    """Endpoints that were removed a short while ago."""

    @property
    def store_revision(self) -> Revision:
        """Return the state of the store that the view shows."""
        return Revision(epoch=self.epoch, number=self.revision)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryChange:
    """A change of one endpoint's entry in the store."""

    endpoint_id: EndpointId
    endpoint: Endpoint | None
    """The endpoint after the change; None if the entry was removed."""
    expires_ms: int | None = None
    """When to remove an endpoint whose entry may reappear; None to remove it at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadChanges:
    """What a VM read from the store: the changes between two revisions, in their order."""

    after_revision: Revision
    revision: Revision
    is_complete: bool
    """Whether the following are all changes."""
    entries: tuple[EntryChange, ...]
    configuration: Configuration | None = None
    """The newest configuration, if there is a new one."""
    previous_configuration: Configuration | None = None
    """The one before the changes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestTerms:
    """What a caller stated about its request."""

    attempt_id: str
    host: str
    deadline_ms: int | None
    api_key: str | None
    resume_after: str | None = None
    resumes_id: str | None = None
    """Identifier of the attempt that brought the first event of the stream to resume."""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def stream_id(self) -> str:
        """Return the identifier of the attempt that began the stream, if it is a stream."""
        return (self.resume_after and self.resumes_id) or self.attempt_id

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def own_prompt_tokens(self) -> int:
        """Return the number of prompt tokens outside of the shared parts."""
        return max(0, self.prompt_tokens - sum(part.tokens for part in self.shared_parts))


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerTerms:
    """What an endpoint's answer states about the request besides its status."""

    not_run: bool
    is_signed: bool
    is_encoded: bool = False
    wrong_incarnation: bool = False
    limits: tuple[str, ...] = ()
    """Unparsed requests a second that the endpoint takes from all VMs; empty if it names none."""
    is_leaving: bool = False
    """Whether the endpoint states that its process ends soon."""
    waits: tuple[str, ...] = ()
    """Unparsed seconds for which a refusing endpoint wants no requests; empty if it names none."""
    brittle: tuple[str, ...] = ()
    """Unparsed rejections a second above which the endpoint falls over; empty if it names none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One VM of the fleet, as described by its own heartbeats."""

    vm_id: VmId
    incarnation: int
    address: str
    """Address that serves callers."""
    peer_address: str
    view_address: str
    """Address that serves this VM's view to peers."""
    failure_domain_id: FailureDomainId
    weight: int
    is_leaving: bool
    is_ready: bool
    relays: bool = False
    """Whether it passes heartbeats of other failure domains on within its own."""
    takes_forwarded: bool = False
    """Whether it takes requests that peers hand on, at its peer address."""
    unreached_services: tuple[str, ...] = ()
    """Services of which it reaches no endpoint."""
    configuration_version: int = 0
    """Version of the configuration in force at it; 0 if it has none or does not tell."""
