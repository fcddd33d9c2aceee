"""Refuses requests that crash endpoints, and exchanges the evidence with peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
import logging
import random

from wagtailusher_core import EndpointId
from wagtailusher_daemon.quarantine_messages import quarantine_message, quarantine_summary
from wagtailusher_gateway.const import (
    CULPRIT_SENDS,
    ENTRY_LAPSE_MS,
    MAX_SUMMARIES_PER_TICK,
    MIN_WAITING_CRASHES,
    QUARANTINE_INTERVAL_MS,
    QUARANTINE_PEERS,
    QUARANTINE_REPEAT_MS,
    RETRY_AFTER_MAX_MS,
    VIEW_DELAY_MS,
)
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import Endpoint, Member
from wagtailusher_gateway.request_fingerprints import RequestFingerprints
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_quarantine import (
    DEFAULT_INNOCENT_MS,
    QuarantineDecider,
    QuarantineLimits,
    Suspect,
)
from wagtailusher_wire import (
    AuthenticatedMessage,
    Message,
    QuarantineEntry,
    QuarantineSummary,
    split_to_fit,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is refused: what it is accused of, the evidence, and when to come back."""

    fingerprint: str
    endpoint_ids: tuple[EndpointId, ...]
    """Endpoints that crashed, as far as this VM knows them."""
    told_by: tuple[str, ...]
    """VMs that reported these crashes."""
    age_ms: int | None
    """Age of the newest crash, or None if this VM only learned the result."""
    retry_after_ms: int


class QuarantineExchange:
    """Keeps this VM's evidence of what crashes endpoints, and spreads it."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
        count_event: Callable[[str], None] = lambda event: None,
        seed: int = 0,
    ) -> None:
        """Start without evidence.

        `count_event` gets "crash", "refused", "quarantined", "released", "probe" or "unsent".
        """
        self._fleet = fleet
        self._view_cache = view_cache
        self._send = send
        self._clock_ms = clock_ms
        self._count_event = count_event
        self._random = random.Random(seed)
        self._decider = QuarantineDecider(
            limits=QuarantineLimits(
                culprit_sends=CULPRIT_SENDS,
                relays_suspects=False,
                min_waiting_crashes=MIN_WAITING_CRASHES,
                request_innocent_ms=DEFAULT_INNOCENT_MS,
            )
        )
        self._refused: frozenset[str] = frozenset()
        self._born_ms: dict[EndpointId, int] = {}
        self.crash_count = 0
        """Crashes that this VM saw itself."""
        self._sent_ms = 0
        self._repeated_ms = 0

    def find_refusal(self, fingerprints: RequestFingerprints) -> Refusal | None:
        """Return why a request must not start, or None if it may; a probe that is due may."""
        now_ms = self._clock_ms()
        for fingerprint in self._find_refused(fingerprints, now_ms):
            self._decider.record_refused(fingerprint, now_ms)
            if not self._may_probe(fingerprint, now_ms):
                self._count_event("refused")
                return self._refusal(fingerprint, now_ms)
        return None

    def refused_parts(self, fingerprints: RequestFingerprints) -> tuple[str, ...]:
        """Return the parts of a prompt that were refused at the last tick; records nothing."""
        return tuple(part for part in fingerprints.parts if part in self._refused)

    def may_send(self, fingerprints: RequestFingerprints) -> bool:
        """Return whether a request may be sent now; counts a probe right before its first byte."""
        now_ms = self._clock_ms()
        refused = self._find_refused(fingerprints, now_ms)
        if not all(self._may_probe(fingerprint, now_ms) for fingerprint in refused):
            return False
        for fingerprint in refused:
            self._decider.try_probe(fingerprint, now_ms)
            self._count_event("probe")
            _LOGGER.info(
                "Quarantine: one request of %s is let through",
                fingerprint,
                extra={"event": "quarantine_probe", "fingerprint": fingerprint},
            )
        return True

    def _find_refused(self, fingerprints: RequestFingerprints, now_ms: int) -> list[str]:
        """Return the fingerprints of a request that are refused."""
        if self._decider.is_empty:
            return []
        return [item for item in fingerprints.all if self._decider.is_quarantined(item, now_ms)]

    def _may_probe(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a probe is due and this VM is the one that sends it."""
        if not self._decider.is_probe_due(fingerprint, now_ms):
            return False
        return self._fleet.is_first_for(fingerprint, now_ms)

    def _refusal(self, fingerprint: str, now_ms: int) -> Refusal:
        crashes = self._decider.find_crashes(fingerprint)
        own_id = self._fleet.own_member.vm_id
        return Refusal(
            fingerprint=fingerprint,
            endpoint_ids=tuple(crash.endpoint_id for crash in crashes),
            told_by=tuple(sorted({crash.told_by or own_id for crash in crashes})),
            age_ms=now_ms - max(crash.crashed_ms for crash in crashes) if crashes else None,
            retry_after_ms=RETRY_AFTER_MAX_MS,
        )

    def record_crash(self, endpoint: Endpoint, suspects: Iterable[Suspect]) -> None:
        """Record that an endpoint crashed; if an answer had just begun, tell all peers at once.

        An endpoint that is draining or no longer listed may end by plan.
        """
        suspects = tuple(suspects)
        listed = self._view_cache.view.endpoints.get(endpoint.endpoint_id)
        if listed is None or listed.is_draining or listed.born_ms != endpoint.born_ms:
            return
        now_ms = self._clock_ms()
        self.crash_count += 1
        self._count_event("crash")
        self._decider.record_suspects(suspects, endpoint.endpoint_id, now_ms)
        if any(suspect.has_begun for suspect in suspects):
            self._spread(list(self._fleet.live_members(now_ms)), now_ms)
        self._update_refused(now_ms)

    def record_complete(self, fingerprints: RequestFingerprints) -> None:
        """Record a complete answer, which speaks for the request and the parts of its prompt."""
        now_ms = self._clock_ms()
        for fingerprint in fingerprints.all:
            self._decider.record_success(fingerprint, now_ms)

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Merge a peer's evidence; other messages are ignored."""
        if not isinstance(message, QuarantineSummary):
            return
        summary = quarantine_summary(message)
        self._decider.merge(summary, now_ms, told_by=authenticated.vm_id)
        self._update_refused(now_ms)

    def greet(self, address: str, now_ms: int) -> None:
        """Send the evidence to a VM that is new to this one."""
        if not self._decider.is_empty:
            self._send_summary((address,), now_ms)

    def tick(self, now_ms: int) -> None:
        """Spread what peers may not know yet, and repeat what is refused."""
        if self._decider.is_empty or now_ms - self._sent_ms < QUARANTINE_INTERVAL_MS:
            return
        self._sent_ms = now_ms
        self._retract_crashes(now_ms)
        self._update_refused(now_ms)
        members = list(self._fleet.live_members(now_ms))
        if self._decider.has_unsent_evidence(now_ms):
            self._spread(self._sample(members, QUARANTINE_PEERS), now_ms)
        elif self._refused and now_ms - self._repeated_ms >= QUARANTINE_REPEAT_MS:
            self._repeated_ms = now_ms
            self._send_summary((m.peer_address for m in self._sample(members, 2)), now_ms)

    def _sample(self, members: list[Member], count: int) -> list[Member]:
        return self._random.sample(members, min(count, len(members)))

    def _spread(self, members: list[Member], now_ms: int) -> None:
        """Send evidence that was not sent often enough to some peers."""
        addresses = [member.peer_address for member in members]
        for _ in range(MAX_SUMMARIES_PER_TICK):
            if not addresses or not self._decider.has_unsent_evidence(now_ms):
                return
            self._send_summary(addresses, now_ms)

    def _send_summary(self, addresses: Iterable[str], now_ms: int) -> None:
        """Send one summary to peers; an entry that exceeds a datagram is counted."""
        addresses = tuple(addresses)
        entries = quarantine_message(self._decider.summary(now_ms)).entries
        for message in split_to_fit(
            lambda part: QuarantineSummary(entries=part), entries, self._count_unsent
        ):
            for address in addresses:
                self._send(address, message)

    def _count_unsent(self, entry: QuarantineEntry) -> None:
        self._count_event("unsent")
        _LOGGER.warning(
            "Quarantine: evidence against %s was not sent",
            entry.fingerprint,
            extra={"event": "quarantine_unsent", "fingerprint": entry.fingerprint},
        )

    def _retract_crashes(self, now_ms: int) -> None:
        """Drop crashes of endpoints whose entries outlive them, as after a cut that resets.

        The view must be current, as no entry lapses while the store is away.
        """
        view = self._view_cache.view
        crashes = self._decider.crashes()
        crashed_ids = {endpoint_id for endpoint_id, _ in crashes}
        self._born_ms = {
            endpoint_id: self._born_ms.get(endpoint_id, endpoint.born_ms)
            for endpoint_id in crashed_ids
            if (endpoint := view.endpoints.get(endpoint_id)) is not None
        }
        if now_ms - view.confirmed_ms > VIEW_DELAY_MS:
            return
        for endpoint_id, crashed_ms in crashes:
            listed = view.endpoints.get(endpoint_id)
            if listed is None or now_ms - crashed_ms < ENTRY_LAPSE_MS:
                continue
            if listed.born_ms == self._born_ms[endpoint_id] and endpoint_id not in view.lapsing_ms:
                self._decider.retract_crash(endpoint_id, crashed_ms, now_ms)

    def _update_refused(self, now_ms: int) -> None:
        """Log and count which fingerprints are refused from now on, and which no longer."""
        refused = self._decider.refused_fingerprints(now_ms)
        for fingerprint in refused - self._refused:
            refusal = self._refusal(fingerprint, now_ms)
            self._log_change("quarantined", fingerprint, refusal)
        for fingerprint in self._refused - refused:
            self._log_change("released", fingerprint, None)
        self._refused = refused

    def _log_change(self, event: str, fingerprint: str, refusal: Refusal | None) -> None:
        self._count_event(event)
        _LOGGER.warning(
            "Quarantine: %s is %s",
            fingerprint,
            event,
            extra={
                "event": event,
                "fingerprint": fingerprint,
                "crashed": refusal.endpoint_ids if refusal else (),
                "told_by": refusal.told_by if refusal else (),
                "crash_age_ms": refusal.age_ms if refusal else None,
            },
        )
