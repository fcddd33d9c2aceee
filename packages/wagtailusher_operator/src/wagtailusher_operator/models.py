"""Response models of the entry daemon's operator HTTP API."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class Answer(BaseModel):
    """Base class of the responses; unknown fields are ignored, so that fields can be added."""

    model_config = ConfigDict(extra="ignore")


class MemberAnswer(Answer):
    """An entry VM as seen by another one."""

    vm_id: str
    failure_domain_id: str
    state: str
    address: str = ""
    incarnation: int = 0
    revision: str | None = None
    heard_age_ms: int | None = None


class FleetAnswer(Answer):
    """An entry VM and the members of the fleet that it sees."""

    vm_id: str
    failure_domain_id: str
    ready: bool
    incarnation: int = 0
    revision: str | None = None
    members: list[MemberAnswer] = []


class EndpointAnswer(Answer):
    """An endpoint as seen by one entry VM."""

    endpoint_id: str
    failure_domain_id: str
    state: str
    address: str = ""
    pool_ids: list[str] = []
    in_flight: int = 0
    allowed: int = 0
    cold: bool = False
    drained: bool = False
    ejected: bool = False
    slowness: float = 1.0
    report_age_ms: int | None = None
    opens_in_ms: int | None = 0
    """Time until it takes another request of this VM by what it stated; None if it leaves."""
    steward_id: str | None = None
    lease_credits: int | None = None
    lease_expires_in_ms: int | None = None


class EndpointsAnswer(Answer):
    """The endpoints seen by one entry VM."""

    vm_id: str
    endpoints: list[EndpointAnswer]


class ProblemAnswer(Answer):
    """One validation error of a refused settings document."""

    key: str
    reason: str
    line: int | None = None
    column: int | None = None


class SettingsRefusalAnswer(Answer):
    """A settings document that was refused; none of it was applied."""

    code: str
    problems: list[ProblemAnswer]
    revision: str | None = None
    age_ms: int | None = None
    count: int = 1


class SettingsAnswer(Answer):
    """The settings applied on one entry VM and the state of its settings service."""

    vm_id: str
    revision: str | None
    applied_age_ms: int | None = None
    drained_domains: list[str] = []
    refusal: SettingsRefusalAnswer | None = None
    service_problem: str | None = None
    service_answer_age_ms: int | None = None


class FingerprintAnswer(Answer):
    """The fingerprint of a request that crashed endpoints or is suspected of it."""

    fingerprint: str
    quarantined: bool
    endpoint_ids: list[str] = []
    age_ms: int | None = None
    expires_in_ms: int | None = None


class QuarantineAnswer(Answer):
    """The suspected and quarantined fingerprints known to one entry VM."""

    vm_id: str
    fingerprints: list[FingerprintAnswer]


class RefusalAnswer(Answer):
    """A recently refused request."""

    code: str
    outcome: str
    age_ms: int
    workspace_id: str = ""
    class_id: str = ""
    tier: int | None = None
    trace_id: str = ""
    message: str = ""


class RefusalCountAnswer(Answer):
    """Number of refusals with one error code in one tier since the daemon started."""

    code: str
    tier: int | None
    count: int


class RefusalsAnswer(Answer):
    """The refusals of one entry VM."""

    vm_id: str
    counts: list[RefusalCountAnswer] = []
    refusals: list[RefusalAnswer] = []


class CandidateAnswer(Answer):
    """A candidate endpoint of a placement; the lowest score is chosen."""

    endpoint_id: str
    score: float
    own_tokens: float = 0.0
    reported_tokens: float = 0.0
    prompt_tokens: float = 0.0
    cached_tokens: float = 0.0
    slowness: float = 1.0


class AttemptAnswer(Answer):
    """One attempt to execute a request, with the candidates compared for it."""

    endpoint_id: str
    started_after_ms: int
    end: str | None = None
    candidates: list[CandidateAnswer] = []


class RequestAnswer(Answer):
    """The state, timing and attempts of one request."""

    vm_id: str
    trace_id: str
    request_id: str
    workspace_id: str
    route_id: str
    class_id: str
    tier: int
    pool_id: str
    state: str
    outcome: str
    code: str | None = None
    queued_ms: int | None = None
    first_token_ms: int | None = None
    total_ms: int | None = None
    target_met: bool | None = None
    forwarded_to: str | None = None
    attempts: list[AttemptAnswer] = []


class DrainEndpointAnswer(Answer):
    """Work still in progress on an endpoint of a failure domain."""

    endpoint_id: str
    in_flight: int
    reported_running: int | None = None


class DrainVmAnswer(Answer):
    """Another entry VM's work in a failure domain, from its latest report."""

    vm_id: str
    in_flight: int | None = None
    revision: str | None = None
    age_ms: int | None = None


class DrainAnswer(Answer):
    """One entry VM's remaining work in a failure domain, with its latest reports of others."""

    vm_id: str
    failure_domain_id: str
    ordered: bool
    revision: str | None = None
    in_flight: int = 0
    queued: int = 0
    last_start_age_ms: int | None = None
    endpoints: list[DrainEndpointAnswer] = []
    vms: list[DrainVmAnswer] = []


class EndpointBooksAnswer(Answer):
    """Usage statistics of one endpoint on one entry VM."""

    endpoint_id: str
    failure_domain_id: str
    pool_ids: list[str]
    concurrency_limit: int
    mean_in_flight: float
    peak_in_flight: int
    completed: int = 0
    good_tokens: int = 0
    wasted_tokens: int = 0


class ClassBooksAnswer(Answer):
    """Numbers of finished requests of one class and of those that met its target."""

    workspace_id: str
    class_id: str
    tier: int
    pool_ids: list[str]
    finished: int
    met: int


class PoolBooksAnswer(Answer):
    """Mean and highest number of requests in flight in one pool."""

    pool_id: str
    mean_in_flight: float
    peak_in_flight: int


class BooksAnswer(Answer):
    """Usage statistics of one entry VM over a time span."""

    vm_id: str
    span_ms: int
    endpoints: list[EndpointBooksAnswer] = []
    classes: list[ClassBooksAnswer] = []
    pools: list[PoolBooksAnswer] = []
