"""What the entry daemon's operator interface answers; fields that are added later are ignored."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class Answer(BaseModel):
    """What all parts of answers share."""

    model_config = ConfigDict(extra="ignore")


class MemberAnswer(Answer):
    """An entry VM as another one sees it."""

    vm_id: str
    failure_domain_id: str
    state: str
    address: str = ""
    incarnation: int = 0
    revision: str | None = None
    heard_age_ms: int | None = None


class FleetAnswer(Answer):
    """One entry VM and the members that it sees."""

    vm_id: str
    failure_domain_id: str
    ready: bool
    incarnation: int = 0
    revision: str | None = None
    members: list[MemberAnswer] = []


class EndpointAnswer(Answer):
    """An endpoint as one entry VM sees it."""

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
    steward_id: str | None = None
    lease_credits: int | None = None
    lease_expires_in_ms: int | None = None


class EndpointsAnswer(Answer):
    """The endpoints that one entry VM sees."""

    vm_id: str
    endpoints: list[EndpointAnswer]


class ProblemAnswer(Answer):
    """One fault of a refused settings document."""

    key: str
    reason: str
    line: int | None = None
    column: int | None = None


class SettingsRefusalAnswer(Answer):
    """A settings document that was refused whole."""

    code: str
    problems: list[ProblemAnswer]
    revision: str | None = None
    age_ms: int | None = None
    count: int = 1


class SettingsAnswer(Answer):
    """The settings in force on one entry VM."""

    vm_id: str
    revision: str | None
    applied_age_ms: int | None = None
    drained_domains: list[str] = []
    refusal: SettingsRefusalAnswer | None = None
    service_problem: str | None = None
    service_answer_age_ms: int | None = None


class FingerprintAnswer(Answer):
    """A request that crashed endpoints or is suspected to."""

    fingerprint: str
    quarantined: bool
    endpoint_ids: list[str] = []
    age_ms: int | None = None
    expires_in_ms: int | None = None


class QuarantineAnswer(Answer):
    """The fingerprints that one entry VM knows."""

    vm_id: str
    fingerprints: list[FingerprintAnswer]


class RefusalAnswer(Answer):
    """A request that was refused lately."""

    code: str
    outcome: str
    age_ms: int
    workspace_id: str = ""
    class_id: str = ""
    tier: int | None = None
    trace_id: str = ""
    message: str = ""


class RefusalCountAnswer(Answer):
    """How often one code was given to one tier since the daemon started."""

    code: str
    tier: int | None
    count: int


class RefusalsAnswer(Answer):
    """The refusals of one entry VM."""

    vm_id: str
    counts: list[RefusalCountAnswer] = []
    refusals: list[RefusalAnswer] = []


class CandidateAnswer(Answer):
    """One compared endpoint; the least score is chosen."""

    endpoint_id: str
    score: float
    own_tokens: float = 0.0
    reported_tokens: float = 0.0
    prompt_tokens: float = 0.0
    cached_tokens: float = 0.0
    slowness: float = 1.0


class AttemptAnswer(Answer):
    """One time that a request was sent, and why there."""

    endpoint_id: str
    started_after_ms: int
    end: str | None = None
    candidates: list[CandidateAnswer] = []


class RequestAnswer(Answer):
    """What became of one request."""

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
    """What is still in progress on an endpoint of a failure domain."""

    endpoint_id: str
    in_flight: int
    reported_running: int | None = None


class DrainVmAnswer(Answer):
    """What one entry VM last heard about another's work in a failure domain."""

    vm_id: str
    in_flight: int | None = None
    revision: str | None = None
    age_ms: int | None = None


class DrainAnswer(Answer):
    """One entry VM's work in a failure domain."""

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
    """What one endpoint earned by one entry VM's books."""

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
    """How often one class met its target."""

    workspace_id: str
    class_id: str
    tier: int
    pool_ids: list[str]
    finished: int
    met: int


class PoolBooksAnswer(Answer):
    """The load of one pool; the peak is the highest of all moments."""

    pool_id: str
    mean_in_flight: float
    peak_in_flight: int


class BooksAnswer(Answer):
    """The books of one entry VM over a span of time."""

    vm_id: str
    span_ms: int
    endpoints: list[EndpointBooksAnswer] = []
    classes: list[ClassBooksAnswer] = []
    pools: list[PoolBooksAnswer] = []
