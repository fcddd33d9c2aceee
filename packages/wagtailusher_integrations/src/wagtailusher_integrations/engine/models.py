"""Requests to engines and their load reports."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from wagtailusher_core import EndpointId, Incarnation, RequestId
from wagtailusher_placement import LoadReport


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatCall:
    """One chat completion request to an engine."""

    request_id: RequestId
    tier: int
    body: bytes
    streams: bool
    traceparent: str | None = None


class LoadModel(BaseModel):
    """An engine's load, measured `age_ms` before it was sent."""

    model_config = ConfigDict(extra="ignore")

    running: int = Field(ge=0)
    waiting: int = Field(ge=0)
    kv_used_share: float = Field(default=0.0, ge=0.0, le=1.0)
    cold: bool = False
    incarnation: int = 0
    age_ms: int = Field(default=0, ge=0)

    def to_report(self, endpoint_id: EndpointId, received_ms: int) -> LoadReport:
        """Return the report with its time on the receiver's clock."""
        return LoadReport(
            endpoint_id=endpoint_id,
            reported_at_ms=received_ms - self.age_ms,
            running=self.running,
            waiting=self.waiting,
            kv_used_share=self.kv_used_share,
            cold=self.cold,
            incarnation=Incarnation(self.incarnation),
        )
