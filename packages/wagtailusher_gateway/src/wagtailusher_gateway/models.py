"""What the gateway knows: routes, services, endpoints and one request's terms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from wagtailusher_core import EndpointId, FailureDomainId, VmId, WorkspaceId


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
    """A service's part of a route's traffic."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which requests go to which service, and how; `rank` 0 is the most urgent."""

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
    """Longest pause between events with which a stream is on time; 0 for no target."""

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request that may have run can be sent again from its start."""
        return self.repeat is Repeat.SAFE


@dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """What a service of model engines states of each of them."""

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
    """What callers may send and how slowly."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A workspace with its rank, which goes before its routes' ranks."""

    workspace_id: WorkspaceId
    rank: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of what the operators want; never replaced by an older one."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    workspaces: Mapping[str, Workspace]
    """Workspaces by API key."""
    has_workspaces: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One incarnation of an endpoint as it described itself."""

    endpoint_id: EndpointId
    service: str
    address: str
    failure_domain_id: FailureDomainId
    slots: int
    is_draining: bool
    born_ms: int
    cold_until_ms: int
    """On the clock of the reader; 0 when the endpoint is warm."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """All that was read from the platform, with the time at which it was known to be current."""

    revision: int
    confirmed_ms: int
    configuration: Configuration | None
    endpoints: Mapping[EndpointId, Endpoint]
    evacuated: frozenset[FailureDomainId]
    lapsing_ms: Mapping[EndpointId, int] = field(default_factory=dict)
    """When endpoints are dropped whose entries went while the platform may have been away."""


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
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def own_prompt_tokens(self) -> int:
        """Return the prompt tokens outside of the shared parts."""
        return max(0, self.prompt_tokens - sum(part.tokens for part in self.shared_parts))


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerTerms:
    """What an endpoint's answer says about the request beside its status."""

    not_run: bool
    is_signed: bool
    is_encoded: bool = False
    wrong_incarnation: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One VM of the fleet as its own beats describe it."""

    vm_id: VmId
    incarnation: int
    address: str
    """Where callers are served."""
    peer_address: str
    view_address: str
    """Where peers are served with this VM's view."""
    failure_domain_id: FailureDomainId
    weight: int
    is_leaving: bool
    is_ready: bool
