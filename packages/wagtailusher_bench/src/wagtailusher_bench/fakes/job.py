"""A request to a fake endpoint."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class JobEnd(StrEnum):
    """How an endpoint ended a job."""

    COMPLETED = "completed"
    REFUSED = "refused"
    CRASHED = "crashed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request that was sent to an endpoint, with callbacks for its progress and end.

    A job without output tokens is a plain call of `service_work_ms` with an unstreamed answer.
    `on_progress` receives the number of new tokens.
    """

    job_id: str
    sent_ms: float
    on_progress: Callable[[int], None]
    on_end: Callable[[JobEnd], None]
    prompt_tokens: int = 0
    output_tokens: int = 0
    service_work_ms: float = 0.0
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    crashes_endpoint: bool = False
