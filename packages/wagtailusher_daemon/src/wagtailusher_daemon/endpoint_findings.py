"""What the VMs know of endpoints: which are silent, name limits, leave or want no requests."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from wagtailusher_availability import StatementChange
from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.availability_exchange import AnswerStatement, AvailabilityExchange
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import HEADER_LEAVING, HEADER_LIMIT, HEADER_RETRY_AFTER
from wagtailusher_daemon.deciders import EndpointDeciders, new_seed
from wagtailusher_daemon.directory import Directory
from wagtailusher_daemon.limit_exchange import LimitExchange
from wagtailusher_daemon.liveness_exchange import LivenessExchange
from wagtailusher_http import ClientAnswer, HttpClient
from wagtailusher_placement import ANY_INCARNATION
from wagtailusher_rate_limits import LimitChange
from wagtailusher_router import Dispatch, RouterDecider
from wagtailusher_wire import AuthenticatedMessage, Message


class EndpointFindings:
    """Connects the exchanges about endpoints to the daemon's decider and members."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        client: HttpClient,
        directory: Directory,
        send: Callable[[str, Message], None],
        decider: Callable[[], RouterDecider],
        is_ready: Callable[[], bool],
    ) -> None:
        """Start without findings; `decider` returns the decider, which is built later."""

        def checker_address(endpoint_id: EndpointId, now_ms: int) -> str | None:
            steward_id = decider().steward_id(endpoint_id)
            if steward_id is None or steward_id == vm_id:
                return None
            return directory.peer_address_of(steward_id)

        def apply_statements(change: LimitChange | StatementChange) -> None:
            decider().apply_statements(change.endpoint_id, monotonic_ms())

        self._vm_id = vm_id
        self._directory = directory
        self._send = send
        self._apply_statements = apply_statements
        self.liveness = LivenessExchange(
            is_answered=client.async_is_answered,
            drop_idle=client.drop_idle,
            address_of=directory.endpoint_address_of,
            peer_addresses=self._peer_addresses,
            send=send,
            checker_address=checker_address,
            clock_ms=monotonic_ms,
            on_change=lambda change: decider().apply_liveness(change),
            seed=new_seed(),
        )
        self.limits = self._new_limits(is_ready)
        self.availability = self._new_availability()

    def _new_limits(self, is_ready: Callable[[], bool]) -> LimitExchange:
        return LimitExchange(
            vm_id=self._vm_id,
            live_vm_ids=lambda now_ms: (self._vm_id, *self._directory.live_peer_ids()),
            known_vm_count=self._directory.member_count,
            is_fleet_settled=lambda now_ms: is_ready(),
            peer_addresses=self._peer_addresses,
            send=self._send,
            clock_ms=monotonic_ms,
            on_change=self._apply_statements,
            seed=new_seed(),
        )

    def _new_availability(self) -> AvailabilityExchange:
        return AvailabilityExchange(
            peer_addresses=self._peer_addresses,
            send=self._send,
            clock_ms=monotonic_ms,
            on_change=self._apply_statements,
        )

    def _peer_addresses(self, now_ms: int) -> tuple[str, ...]:
        return self._directory.live_peer_addresses()

    @property
    def deciders(self) -> EndpointDeciders:
        """Return the deciders of what was found."""
        return EndpointDeciders(
            liveness=self.liveness.decider,
            rate_limits=self.limits.decider,
            availability=self.availability.decider,
        )

    def read_answer(self, dispatch: Dispatch, answer: ClientAnswer, sent_ms: int) -> None:
        """Read the limit that an answer names, and whether its endpoint wants further requests."""
        headers, endpoint_id = answer.headers, EndpointId(dispatch.endpoint_id)
        is_refused = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        self.limits.read_answer(
            endpoint_id,
            ANY_INCARNATION,
            headers.get_all(HEADER_LIMIT),
            answer_to=dispatch.request_id,
        )
        stated = AnswerStatement(
            is_leaving=headers.get(HEADER_LEAVING) == "1",
            waits=headers.get_all(HEADER_RETRY_AFTER) if is_refused else (),
            is_accepted=not is_refused,
            sent_ms=sent_ms,
            answer_to=dispatch.request_id,
        )
        self.availability.read_answer(endpoint_id, ANY_INCARNATION, stated)

    def may_send_extra(self, endpoint_id: str) -> bool:
        """Return whether a running request may send another one to its endpoint."""
        return self.availability.decider.try_spend_extra(EndpointId(endpoint_id), monotonic_ms())

    def may_poll(self, endpoint_id: EndpointId) -> bool:
        """Return whether an endpoint takes requests for its load."""
        return not self.availability.decider.wait_ms(endpoint_id, monotonic_ms())

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's findings; other messages are ignored."""
        self.liveness.receive(message, authenticated, address, now_ms)
        self.limits.receive(message, authenticated, address, now_ms)
        self.availability.receive(message, authenticated, address, now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the checks that are due, and repeat findings."""
        self.liveness.tick(now_ms)
        self.limits.tick(now_ms)

    def close(self) -> None:
        """Cancel the checks."""
        self.liveness.close()
