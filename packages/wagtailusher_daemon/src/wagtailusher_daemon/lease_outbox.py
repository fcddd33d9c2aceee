"""Buffers lease messages within one event-loop iteration, to send them in batches."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    EndpointLoad,
    LeaseBatch,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    encode,
)


@dataclass(slots=True, kw_only=True)
class LeaseOutbox:
    """The lease messages and load reports to send to one VM."""

    requests: list[LeaseRequest] = field(default_factory=list)
    grants: list[LeaseGrant] = field(default_factory=list)
    recalls: list[LeaseRecall] = field(default_factory=list)
    loads: list[EndpointLoad] = field(default_factory=list)

    def pop_batches(self) -> Iterator[LeaseBatch]:
        """Yield the messages in batches that each fit a datagram, and clear the buffers."""
        batch = LeaseBatch(
            requests=tuple(self.requests),
            grants=tuple(self.grants),
            recalls=tuple(self.recalls),
            loads=tuple(self.loads),
        )
        for part in (self.requests, self.grants, self.recalls, self.loads):
            part.clear()
        yield from _split(batch)


def _split(batch: LeaseBatch) -> Iterator[LeaseBatch]:
    """Yield a batch, halved until each part fits; a single message that is too large is dropped."""
    parts = (batch.requests, batch.grants, batch.recalls, batch.loads)
    if not any(parts):
        return
    if len(encode(batch)) <= MAX_PAYLOAD_BYTES:
        yield batch
        return
    if sum(map(len, parts)) == 1:
        return
    yield from _split(
        LeaseBatch(
            requests=batch.requests[: len(batch.requests) // 2],
            grants=batch.grants[: len(batch.grants) // 2],
            recalls=batch.recalls[: len(batch.recalls) // 2],
            loads=batch.loads[: len(batch.loads) // 2],
        )
    )
    yield from _split(
        LeaseBatch(
            requests=batch.requests[len(batch.requests) // 2 :],
            grants=batch.grants[len(batch.grants) // 2 :],
            recalls=batch.recalls[len(batch.recalls) // 2 :],
            loads=batch.loads[len(batch.loads) // 2 :],
        )
    )
