"""Probes one member per round, directly and then through other members."""

from __future__ import annotations

from wagtailusher_core import VmId
from wagtailusher_membership.core import MembershipCore
from wagtailusher_membership.probes import Probe, Relay
from wagtailusher_wire import Ack, IndirectPing, Nack, Ping


class Prober:
    """Detects members that don't answer; timeouts grow with this node's own slowness."""

    def __init__(self, core: MembershipCore) -> None:
        """Create a prober whose first round starts within one interval of its first tick."""
        self._core = core
        self._probe: Probe | None = None
        self._next_round_ms: int | None = None
        self._relays: dict[int, Relay] = {}

    def tick(self, now_ms: int) -> None:
        """Continue the current probe round, or start the next one when it is due."""
        self._expire_relays(now_ms)
        probe = self._probe
        if probe is not None and probe.awaits_direct_answer and now_ms >= probe.direct_deadline_ms:
            self._send_indirect_probes(probe)
        if self._next_round_ms is None:
            self._next_round_ms = now_ms + self._core.rng.randrange(
                self._core.limits.probe_interval_ms
            )
        if now_ms >= self._next_round_ms:
            self._end_round(now_ms)
            self._start_round(now_ms)

    def abandon_round(self) -> None:
        """Drop the round after a pause of this process; a missing answer then proves nothing."""
        self._probe = None
        self._relays.clear()

    def handle_ping(self, message: Ping, sender: VmId, address: str) -> None:
        """Acknowledge a ping that targets this VM."""
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

    def handle_indirect_ping(
        self, message: IndirectPing, sender: VmId, address: str, now_ms: int
    ) -> None:
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
            deadline_ms=now_ms + core.limits.probe_timeout_ms,
        )
        ping = Ping(sequence=sequence, target=message.target, revision=core.revision)
        core.send_to(message.target, message.target_address, ping)

    def handle_ack(self, message: Ack) -> None:
        """Record the acknowledgement of the own probe, or relay it to its requester."""
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            if message.subject == probe.target and not probe.answered:
                probe.answered = True
                self._core.health.recover()
            return
        relay = self._relays.get(message.sequence)
        if relay is None or relay.target != message.subject:
            return
        del self._relays[message.sequence]
        answer = Ack(sequence=relay.requester_sequence, subject=message.subject)
        self._core.send_to(relay.requester, relay.requester_address, answer)

    def handle_nack(self, message: Nack) -> None:
        """Count a relay that answered without the target.

        It shows that the missing answer isn't due to this node.
        """
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            probe.nacks += 1

    def _start_round(self, now_ms: int) -> None:
        core, limits = self._core, self._core.limits
        interval_ms = core.health.scale(limits.probe_interval_ms)
        self._next_round_ms = now_ms + interval_ms
        target = core.probe_order.next(core.table.view, core.own_id)
        if target is None:
            return
        self._probe = probe = Probe(
            target=target.vm_id,
            sequence=core.next_sequence(),
            direct_deadline_ms=now_ms + core.health.scale(limits.probe_timeout_ms),
            deadline_ms=now_ms + interval_ms,
        )
        core.send(target, self._make_ping(probe))

    def _make_ping(self, probe: Probe) -> Ping:
        return Ping(
            sequence=probe.sequence,
            target=probe.target,
            revision=self._core.revision,
            updates=self._core.updates_for(probe.target),
        )

    def _send_indirect_probes(self, probe: Probe) -> None:
        """Probe through other members, and once more directly."""
        core = self._core
        target = core.table.view.get(probe.target)
        probe.indirect_sent = True
        if target is None or target.is_gone:
            return
        relays = core.sample(core.limits.indirect_probes, probe.target)
        probe.relays = len(relays)
        for relay in relays:
            indirect_ping = IndirectPing(
                sequence=probe.sequence,
                target=target.vm_id,
                target_address=target.peer_address,
            )
            core.send(relay, indirect_ping)
        core.send(target, self._make_ping(probe))

    def _end_round(self, now_ms: int) -> None:
        """Suspect a member that didn't answer.

        Relays that didn't answer either point to a fault of this node: they worsen its local
        health score.
        """
        probe, self._probe = self._probe, None
        if probe is None or probe.answered:
            return
        unresponsive_relays = probe.relays - probe.nacks
        self._core.health.degrade(unresponsive_relays if probe.relays else 1)
        self._core.suspect(probe.target, now_ms)

    def _expire_relays(self, now_ms: int) -> None:
        """Send a Nack to requesters whose target didn't answer: this relay is alive."""
        for sequence, relay in list(self._relays.items()):
            if now_ms >= relay.deadline_ms:
                del self._relays[sequence]
                answer = Nack(sequence=relay.requester_sequence, subject=relay.target)
                self._core.send_to(relay.requester, relay.requester_address, answer)
