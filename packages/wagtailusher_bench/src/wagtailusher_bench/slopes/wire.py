"""Measures traffic and processor time of batched lease renewals between two nodes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from statistics import median
from time import process_time

from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_core import EndpointId, Incarnation, VmId
from wagtailusher_wire import (
    EndpointLoad,
    LeaseBatch,
    LeaseGrant,
    LeaseRequest,
    Message,
    MessageAuthenticator,
    decode,
    encode,
)

HEADERS_BYTES = 28
REPEATS = 5
RENEWALS_IN_BATCH = 4
US_PER_S = 1_000_000
HOLDER = VmId("vm-0042")
STEWARD = VmId("vm-0117")
SECRET = b"a-secret-of-the-benchmark"


def measure_wire(*, renewals: Sequence[int]) -> Iterator[Slope]:
    """Yield the slopes of bytes and processor time per renewal, request and grant together."""
    sizes: list[Point] = []
    times: list[Point] = []
    for count in renewals:
        runs = [_exchange_batches(count) for _ in range(REPEATS)]
        sizes.append(Point(size=count, value=runs[0][0]))
        times.append(Point(size=count, value=median(spent for _, spent in runs)))
    yield fit_line("lease_wire_bytes", unit="bytes", per="renewal", points=sizes)
    yield fit_line("lease_wire_cpu", unit="us", per="renewal", points=times)


def _exchange_batches(count: int) -> tuple[int, float]:
    """Encode, sign, verify and decode batches of renewals in both directions.

    Return the bytes sent and the processor time in us.
    """
    holder, steward = MessageAuthenticator(SECRET), MessageAuthenticator(SECRET)
    size = 0
    started = process_time()
    for first in range(1, count + 1, RENEWALS_IN_BATCH):
        numbers = range(first, min(first + RENEWALS_IN_BATCH, count + 1))
        requests = LeaseBatch(requests=tuple(map(_request, numbers)))
        grants = LeaseBatch(grants=tuple(map(_grant, numbers)), loads=tuple(map(_load, numbers)))
        size += _send(requests, HOLDER, holder, steward)
        size += _send(grants, STEWARD, steward, holder)
    return size, (process_time() - started) * US_PER_S


def _send(
    message: Message, sender_id: VmId, sender: MessageAuthenticator, receiver: MessageAuthenticator
) -> int:
    """Transfer one message and return the size of its datagram with IP and UDP headers."""
    datagram = sender.sign(sender_id, Incarnation(1), encode(message))
    decode(receiver.verify(datagram).payload)
    return len(datagram) + HEADERS_BYTES


def _request(number: int) -> LeaseRequest:
    return LeaseRequest(
        node_id=HOLDER,
        endpoint_id=EndpointId(f"endpoint-{number:05d}"),
        held=6,
        in_flight=5,
        demand_by_tier=(0, 1, 2, 0, 3, 0, 0),
        sequence=number,
        list_version=1,
    )


def _load(number: int) -> EndpointLoad:
    """Return the endpoint load that is sent with a grant."""
    return EndpointLoad(
        endpoint_id=EndpointId(f"endpoint-{number:05d}"),
        age_ms=120,
        running=12,
        waiting=1,
        kv_used_permille=413,
        cold=False,
        incarnation=Incarnation(1),
    )


def _grant(number: int) -> LeaseGrant:
    return LeaseGrant(
        steward_id=STEWARD,
        endpoint_id=EndpointId(f"endpoint-{number:05d}"),
        credits=6,
        lifetime_ms=2_000,
        cold=False,
        sequence=number,
        steward_epoch=1,
    )
