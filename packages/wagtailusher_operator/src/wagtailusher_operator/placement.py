"""Response models of the gateway's explanation of a placement."""

from __future__ import annotations

from wagtailusher_operator.models import Answer


class PlacementCandidateAnswer(Answer):
    """The terms of one endpoint's cost; the lowest total is chosen."""

    endpoint_id: str
    failure_domain_id: str
    total_ms: float
    delay_ms: float
    queue_ms: float
    queued_tokens: int
    running_requests: int
    missing_tokens: int
    missing_ms: float
    partition_ms: float
    failure_ms: float
    cold_ms: float
    domain_ms: float
    load_age_ms: int


class PlacementBarrierAnswer(Answer):
    """Why an endpoint is no candidate."""

    endpoint_id: str
    failure_domain_id: str
    reason: str
    queued_tokens: int
    running_requests: int
    load_age_ms: int


class PlacementRefusalAnswer(Answer):
    """The refusal that a caller would get."""

    status: int
    code: str
    message: str
    retry_after_ms: int | None = None


class PlacementAnswer(Answer):
    """Where a request would go now, as one VM decides."""

    vm_id: str
    verdict: str
    endpoint_id: str | None = None
    tied_ids: list[str] = []
    refusal: PlacementRefusalAnswer | None = None
    route: str = ""
    service: str = ""
    workspace_id: str = ""
    rank: int | None = None
    queue: str = ""
    queued_requests: int = 0
    ahead_requests: int = 0
    expected_wait_ms: float = 0.0
    allowed_wait_ms: int = 0
    pass_chance: float = 1.0
    is_outranked: bool = False
    view_age_ms: int = 0
    candidates: list[PlacementCandidateAnswer] = []
    others: list[PlacementBarrierAnswer] = []
