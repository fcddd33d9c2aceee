"""Measures the codecs and the message authenticator."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from time import perf_counter

from wagtailusher_core import EndpointId, FailureDomainId, Incarnation, Revision, VmId
from wagtailusher_wire import (
    Ack,
    Codec,
    ConfigurationAnnounce,
    Gossip,
    LeaseGrant,
    LeaseRequest,
    MemberState,
    MemberUpdate,
    Message,
    MessageAuthenticator,
    RoomSummary,
    SummaryGossip,
    TableDigest,
    decode,
    encode,
)

_ROUNDS = 3_000
_INCARNATION = Incarnation(1_764_800_000_000)
_SECRET = b"a secret for measurements only"


@dataclass(frozen=True, slots=True, kw_only=True)
class CodecCost:
    """Size and processing time of one kind of message with one codec.

    `seal_us` is the time to sign a message, `open_us` the time to verify it.
    """

    measure: str
    message: str
    codec: str
    message_bytes: int
    encode_us: float
    decode_us: float
    seal_us: float
    open_us: float


def measure_wire() -> Iterator[dict[str, object]]:
    """Yield the cost of typical messages with each codec, one object each."""
    for name, message in _messages().items():
        for codec in Codec:
            yield asdict(_measure(name, message, codec))


def _measure(name: str, message: Message, codec: Codec) -> CodecCost:
    content = encode(message, codec=codec)
    sender, receiver = MessageAuthenticator(_SECRET), MessageAuthenticator(_SECRET)
    vm_id = VmId("vm-0001")
    authenticated: list[bytes] = []
    seal_us = _time_us(lambda: authenticated.append(sender.sign(vm_id, _INCARNATION, content)))
    unverified = iter(authenticated)
    return CodecCost(
        measure="wire",
        message=name,
        codec=codec.name.lower(),
        message_bytes=len(content),
        encode_us=_time_us(lambda: encode(message, codec=codec)),
        decode_us=_time_us(lambda: decode(content)),
        seal_us=seal_us,
        open_us=_time_us(lambda: receiver.verify(next(unverified))),
    )


def _time_us(action: Callable[[], object]) -> float:
    """Return the mean time of an action over all rounds."""
    start_s = perf_counter()
    for _ in range(_ROUNDS):
        action()
    return round((perf_counter() - start_s) * 1_000_000 / _ROUNDS, 2)


def _messages() -> dict[str, Message]:
    """Return typical messages by name."""
    update = MemberUpdate(
        vm_id=VmId("vm-0001"),
        incarnation=_INCARNATION,
        version=3,
        state=MemberState.ALIVE,
        address="10.20.30.40:8080",
        peer_address="10.20.30.40:7946",
        failure_domain_id=FailureDomainId("region-1-a"),
    )
    room = RoomSummary(
        vm_id=VmId("vm-0001"), incarnation=_INCARNATION, sequence=77, age_ms=900, room=300
    )
    revision = Revision(number=4_711)
    return {
        "ack_without_updates": Ack(sequence=9, subject=VmId("vm-0001"), revision=revision),
        "gossip_with_6_updates": Gossip(updates=(update,) * 6),
        "table_digest": TableDigest(hashes=tuple(range(2**63, 2**63 + 32))),
        "configuration_announce": ConfigurationAnnounce(
            revision=revision, digest=2**63, settled=True
        ),
        **_lease_messages(),
        "summary_with_10_rooms": SummaryGossip(rooms=(room,) * 10),
    }


def _lease_messages() -> dict[str, Message]:
    """Return a typical lease request and grant by name."""
    lease = LeaseRequest(
        node_id=VmId("vm-0001"),
        endpoint_id=EndpointId("runner-0001"),
        held=4,
        in_flight=3,
        demand_by_tier=(0, 2, 5, 0, 0, 1, 0),
        sequence=1_234,
    )
    grant = LeaseGrant(
        steward_id=VmId("vm-0002"),
        endpoint_id=EndpointId("runner-0001"),
        credits=6,
        lifetime_ms=2_000,
        cold=False,
        sequence=1_234,
        steward_epoch=3,
    )
    return {"lease_request": lease, "lease_grant": grant}
