"""Heartbeats of VMs in other failure domains, to be passed on within this one."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import fields, replace
from functools import partial
from typing import Any

from wagtailusher_core import Incarnation, VmId
from wagtailusher_gateway.const import (
    MAX_HEARTBEAT_INTERVAL_MS,
    MAX_RELAYED_LOADS,
    RELAY_PAUSE_MS,
    RELAY_SETTLE_MS,
)
from wagtailusher_wire import (
    AuthenticatedMessage,
    Beat,
    BeatLoad,
    RelayedBeat,
    VmReport,
    fill_to_fit,
    fits_datagram,
    split_to_fit,
)

_REPORT_FIELDS = (
    *(field.name for field in fields(VmReport)),
    "view_epoch",
    "takes_forwarded",
    "unreached_services",
    "configuration_version",
    "queues",
    "shares",
    "rates",
)


class HeartbeatRelay:
    """Keeps the heartbeats that this VM got itself until it has passed them on.

    After a pause of this process, datagrams that waited for it look newer than they are, so for a
    while it passes nothing on.
    """

    def __init__(self) -> None:
        self._received: dict[VmId, tuple[RelayedBeat, int]] = {}
        self._ticked_ms: int | None = None
        self._resumes_ms = 0

    def tick(self, now_ms: int) -> None:
        """Notice a pause, and drop heartbeats that all peers in the failure domain have got."""
        self._check_pause(now_ms)
        self._ticked_ms = now_ms
        self._received = {
            vm_id: (beat, received_ms)
            for vm_id, (beat, received_ms) in self._received.items()
            if now_ms - received_ms <= MAX_HEARTBEAT_INTERVAL_MS
        }

    def add(
        self, authenticated: AuthenticatedMessage, address: str, beat: Beat, now_ms: int
    ) -> None:
        """Keep a heartbeat that arrived from its own VM."""
        self._check_pause(now_ms)
        if now_ms >= self._resumes_ms:
            relayed = _new_relayed(authenticated.vm_id, authenticated.incarnation, address, beat)
            self._received[authenticated.vm_id] = (relayed, now_ms)

    def received_since(self, since_ms: int, now_ms: int) -> tuple[RelayedBeat, ...]:
        """Return the heartbeats that arrived at `since_ms` or later."""
        return tuple(
            replace(beat, age_ms=now_ms - received_ms)
            for beat, received_ms in self._received.values()
            if received_ms >= since_ms
        )

    def _check_pause(self, now_ms: int) -> None:
        if self._ticked_ms is not None and now_ms - self._ticked_ms > RELAY_PAUSE_MS:
            self._resumes_ms = now_ms + RELAY_SETTLE_MS
            self._received.clear()


def relaying_heartbeats(heartbeat: Beat, relayed: Sequence[RelayedBeat]) -> Iterator[Beat]:
    """Yield heartbeats that together pass on all that is relayed, each in one datagram.

    What does not fit beside the sender's own loads goes first, without these; the last heartbeat
    has them, as each replaces the one before.
    """
    large: list[RelayedBeat] = []
    parts = list(
        split_to_fit(lambda part: replace(heartbeat, relayed=part), tuple(relayed), large.append)
    )
    without_loads = replace(heartbeat, loads=())
    for item in large:
        alone = fill_to_fit(partial(_with_relayed_loads, without_loads, item), item.loads)
        if fits_datagram(alone):
            yield alone
    yield from parts or (heartbeat,)


def _with_relayed_loads(heartbeat: Beat, relayed: RelayedBeat, loads: tuple[BeatLoad, ...]) -> Beat:
    return replace(heartbeat, relayed=(replace(relayed, loads=loads),))


def original_beat(relayed: RelayedBeat) -> Beat:
    """Return the heartbeat that its VM sent, without the peers; that VM relays too."""
    return Beat(**_report_values(relayed), relays=True)


def _new_relayed(
    vm_id: VmId, incarnation: Incarnation, peer_address: str, beat: Beat
) -> RelayedBeat:
    values = _report_values(beat) | {"loads": beat.loads[:MAX_RELAYED_LOADS]}
    return RelayedBeat(
        **values,
        vm_id=vm_id,
        incarnation=incarnation,
        peer_address=peer_address,
        age_ms=0,
    )


def _report_values(report: Beat | RelayedBeat) -> dict[str, Any]:
    """Return what a heartbeat reports of its VM, by field."""
    return {name: getattr(report, name) for name in _REPORT_FIELDS}
