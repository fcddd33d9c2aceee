"""Bytes and processor time of lease renewals on the wire between two nodes."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from statistics import median
from time import process_time

from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_core import EndpointId, Incarnation, VmId
from wagtailusher_wire import LeaseGrant, LeaseRequest, Message, Sealer, decode, encode

HEADERS_BYTES = 28
REPEATS = 5
US_PER_S = 1_000_000
HOLDER = VmId("vm-0042")
STEWARD = VmId("vm-0117")
SECRET = b"a-secret-of-the-benchmark"


def measure_wire(*, renewals: Sequence[int]) -> Iterator[Slope]:
    """Yield bytes and processor time of renewals, request and grant together."""
    sizes: list[Point] = []
    times: list[Point] = []
    for count in renewals:
        runs = [_carry(count) for _ in range(REPEATS)]
        sizes.append(Point(size=count, value=runs[0][0]))
        times.append(Point(size=count, value=median(spent for _, spent in runs)))
    yield fit_line("lease_wire_bytes", unit="bytes", per="renewal", points=sizes)
    yield fit_line("lease_wire_cpu", unit="us", per="renewal", points=times)


def _carry(count: int) -> tuple[int, float]:
    """Encode, seal, open and decode both messages of some renewals."""
    holder, steward = Sealer(SECRET), Sealer(SECRET)
    size = 0
    started = process_time()
    for number in range(1, count + 1):
        size += _send(_request(number), HOLDER, holder, steward)
        size += _send(_grant(number), STEWARD, steward, holder)
    return size, (process_time() - started) * US_PER_S


def _send(message: Message, sender_id: VmId, sender: Sealer, receiver: Sealer) -> int:
    """Carry one message and return the size of its datagram with the network's headers."""
    datagram = sender.seal(sender_id, Incarnation(1), encode(message))
    decode(receiver.open(datagram).payload)
    return len(datagram) + HEADERS_BYTES


def _request(number: int) -> LeaseRequest:
    """Return a holder's request."""
    return LeaseRequest(
        node_id=HOLDER,
        endpoint_id=EndpointId(f"endpoint-{number:05d}"),
        held=6,
        in_flight=5,
        demand_by_tier=(0, 1, 2, 0, 3, 0, 0),
        sequence=number,
        list_version=1,
    )


def _grant(number: int) -> LeaseGrant:
    """Return the steward's grant."""
    return LeaseGrant(
        steward_id=STEWARD,
        endpoint_id=EndpointId(f"endpoint-{number:05d}"),
        credits=6,
        lifetime_ms=2_000,
        cold=False,
        sequence=number,
        steward_epoch=1,
    )
