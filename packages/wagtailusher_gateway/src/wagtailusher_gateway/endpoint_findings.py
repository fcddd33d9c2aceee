"""What the VMs know of endpoints: which are silent, name limits, leave or want no requests."""

from __future__ import annotations

from collections.abc import Callable
import random

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.availability_exchange import AnswerStatement, AvailabilityExchange
from wagtailusher_daemon.limit_exchange import LimitExchange
from wagtailusher_daemon.liveness_exchange import LivenessExchange
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import AnswerTerms, Endpoint
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_http import HttpClient
from wagtailusher_liveness import LivenessChange
from wagtailusher_wire import AuthenticatedMessage, Message


class EndpointFindings:
    """Connects the exchanges about endpoints to the gateway's fleet and view."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        client: HttpClient,
        metrics: GatewayMetrics,
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
    ) -> None:
        """Start without findings."""
        self._fleet = fleet
        self._view_cache = view_cache
        self._metrics = metrics
        self._clock_ms = clock_ms
        self.on_liveness: Callable[[LivenessChange, int], None] = lambda change, now_ms: None
        """Called with each change of an endpoint's liveness and the time."""
        self.liveness = LivenessExchange(
            is_answered=client.async_is_answered,
            drop_idle=client.drop_idle,
            address_of=self._address_of,
            peer_addresses=self._peer_addresses,
            send=send,
            checker_address=fleet.first_peer_for,
            clock_ms=clock_ms,
            on_change=self._handle_liveness,
            seed=random.randrange(1 << 32),
        )
        self.limits = self._new_limits(send, clock_ms, metrics)
        self.availability = AvailabilityExchange(
            peer_addresses=self._peer_addresses,
            send=send,
            clock_ms=clock_ms,
            count_event=lambda event: metrics.statements.inc({"event": event}),
        )

    def _handle_liveness(self, change: LivenessChange) -> None:
        self._metrics.liveness.inc({"state": change.state})
        self.on_liveness(change, self._clock_ms())

    def _new_limits(
        self,
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
        metrics: GatewayMetrics,
    ) -> LimitExchange:
        return LimitExchange(
            vm_id=self._fleet.own_member.vm_id,
            live_vm_ids=self._live_vm_ids,
            known_vm_count=lambda: len(self._fleet.all_vm_ids()),
            is_fleet_settled=self._fleet.is_settled,
            peer_addresses=self._peer_addresses,
            send=send,
            clock_ms=clock_ms,
            count_event=lambda event: metrics.limits.inc({"event": event}),
            seed=random.randrange(1 << 32),
        )

    def read_answer(
        self, endpoint: Endpoint, terms: AnswerTerms, attempt_id: str, sent_ms: int
    ) -> None:
        """Read the limit that an answer names, and whether its endpoint wants further requests.

        A refusal need not repeat a limit.
        """
        stated = AnswerStatement(
            is_leaving=terms.is_leaving,
            waits=terms.waits,
            brittle=terms.brittle,
            is_accepted=not terms.not_run,
            sent_ms=sent_ms,
            answer_to=attempt_id,
        )
        self.availability.read_answer(endpoint.endpoint_id, endpoint.born_ms, stated)
        self.limits.read_answer(
            endpoint.endpoint_id,
            endpoint.born_ms,
            terms.limits,
            answer_to=attempt_id,
            may_end=not terms.not_run,
        )

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's findings; other messages are ignored."""
        self.liveness.receive(message, authenticated, address, now_ms)
        self.limits.receive(message, authenticated, address, now_ms)
        self.availability.receive(message, authenticated, address, now_ms)

    def greet(self, address: str, now_ms: int) -> None:
        """Send what a VM that is new to this one must know before it sends requests."""
        self.limits.greet(address, now_ms)
        self.availability.greet(address, now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the checks that are due, and repeat findings."""
        self.liveness.tick(now_ms)
        self.limits.tick(now_ms)

    def close(self) -> None:
        """Cancel the checks."""
        self.liveness.close()

    def _address_of(self, endpoint_id: EndpointId) -> str | None:
        endpoint = self._view_cache.view.endpoints.get(endpoint_id)
        return endpoint.address if endpoint is not None else None

    def _peer_addresses(self, now_ms: int) -> list[str]:
        return [member.peer_address for member in self._fleet.live_members(now_ms)]

    def _live_vm_ids(self, now_ms: int) -> tuple[VmId, ...]:
        return tuple(member.vm_id for member in self._fleet.serving_members(now_ms))
