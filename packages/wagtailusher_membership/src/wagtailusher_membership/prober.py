"""Probes one member a round, directly and then through others."""

from __future__ import annotations

from wagtailusher_core import VmId
from wagtailusher_membership.core import MembershipCore
from wagtailusher_membership.probes import Probe, Relay
from wagtailusher_wire import Ack, IndirectPing, Nack, Ping


class Prober:
    """Finds members that don't answer, allowing for this node's own slowness."""

    def __init__(self, core: MembershipCore) -> None:
        """Create a prober that starts at its first tick."""
        self._core = core
        self._probe: Probe | None = None
        self._next_round_ms: int | None = None
        self._relays: dict[int, Relay] = {}

    def tick(self, now_ms: int) -> None:
        """Go on with the round, or start the next."""
        self._end_relays(now_ms)
        probe = self._probe
        if probe is not None and probe.waits and now_ms >= probe.indirect_at_ms:
            self._ask_others(probe)
        if self._next_round_ms is None:
            self._next_round_ms = now_ms + self._core.rng.randrange(
                self._core.limits.probe_interval_ms
            )
        if now_ms >= self._next_round_ms:
            self._end_round(now_ms)
            self._start_round(now_ms)

    def forget_round(self) -> None:
        """Drop the round after a pause of this process: its silence proves nothing."""
        self._probe = None
        self._relays.clear()

    def ping(self, message: Ping, sender: VmId, address: str) -> None:
        """Answer a ping that is meant for this process."""
        core = self._core
        if message.target != core.own_id:
            return
        core.send_to(
            sender,
            address,
            Ack(
                sequence=message.sequence,
                subject=core.own_id,
                revision=core.revision,
                updates=core.updates_for(sender),
            ),
        )

    def indirect_ping(self, message: IndirectPing, sender: VmId, address: str, now_ms: int) -> None:
        """Ping a member on the sender's behalf."""
        core = self._core
        if len(self._relays) >= core.limits.max_relays:
            return
        sequence = core.next_sequence()
        self._relays[sequence] = Relay(
            requester=sender,
            requester_address=address,
            requester_sequence=message.sequence,
            target=message.target,
            ends_at_ms=now_ms + core.limits.probe_timeout_ms,
        )
        ping = Ping(sequence=sequence, target=message.target, revision=core.revision)
        core.send_to(message.target, message.target_address, ping)

    def ack(self, message: Ack) -> None:
        """Take an acknowledgement in, or hand it to whom it was asked for."""
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            if message.subject == probe.target and not probe.answered:
                probe.answered = True
                self._core.health.better()
            return
        relay = self._relays.get(message.sequence)
        if relay is None or relay.target != message.subject:
            return
        del self._relays[message.sequence]
        answer = Ack(sequence=relay.requester_sequence, subject=message.subject)
        self._core.send_to(relay.requester, relay.requester_address, answer)

    def nack(self, message: Nack) -> None:
        """Note that a relay lives, so that silence isn't this node's own."""
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            probe.nacks += 1

    def _start_round(self, now_ms: int) -> None:
        """Probe the next member."""
        core, limits = self._core, self._core.limits
        interval_ms = core.health.stretch(limits.probe_interval_ms)
        self._next_round_ms = now_ms + interval_ms
        target = core.order.next(core.table.view, core.own_id)
        if target is None:
            return
        self._probe = probe = Probe(
            target=target.vm_id,
            sequence=core.next_sequence(),
            indirect_at_ms=now_ms + core.health.stretch(limits.probe_timeout_ms),
            ends_at_ms=now_ms + interval_ms,
        )
        core.send(target, self._ping_for(probe))

    def _ping_for(self, probe: Probe) -> Ping:
        """Return the round's ping."""
        return Ping(
            sequence=probe.sequence,
            target=probe.target,
            revision=self._core.revision,
            updates=self._core.updates_for(probe.target),
        )

    def _ask_others(self, probe: Probe) -> None:
        """Probe through others, and once more directly."""
        core = self._core
        target = core.table.view.get(probe.target)
        probe.indirect_sent = True
        if target is None or target.is_gone:
            return
        relays = core.sample(core.limits.indirect_probes, probe.target)
        probe.relays = len(relays)
        for relay in relays:
            question = IndirectPing(
                sequence=probe.sequence,
                target=target.vm_id,
                target_address=target.peer_address,
            )
            core.send(relay, question)
        core.send(target, self._ping_for(probe))

    def _end_round(self, now_ms: int) -> None:
        """Accuse a member that didn't answer; missing relays point to this node instead."""
        probe, self._probe = self._probe, None
        if probe is None or probe.answered:
            return
        missing = probe.relays - probe.nacks
        self._core.health.worse(missing if probe.relays else 1)
        self._core.accuse(probe.target, now_ms)

    def _end_relays(self, now_ms: int) -> None:
        """Tell requesters whose target stayed silent that this relay lives."""
        for sequence, relay in list(self._relays.items()):
            if now_ms >= relay.ends_at_ms:
                del self._relays[sequence]
                answer = Nack(sequence=relay.requester_sequence, subject=relay.target)
                self._core.send_to(relay.requester, relay.requester_address, answer)
