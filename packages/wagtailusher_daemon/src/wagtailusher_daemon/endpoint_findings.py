"""What the VMs tell each other about endpoints: which are silent, and which name limits."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.deciders import new_seed
from wagtailusher_daemon.directory import Directory
from wagtailusher_daemon.limit_exchange import LimitExchange
from wagtailusher_daemon.liveness_exchange import LivenessExchange
from wagtailusher_http import HttpClient
from wagtailusher_placement import ANY_INCARNATION
from wagtailusher_router import Dispatch, RouterDecider
from wagtailusher_wire import AuthenticatedMessage, Message


class EndpointFindings:
    """Connects the exchanges of liveness and limits to the daemon's decider and members."""

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

        self.liveness = LivenessExchange(
            is_answered=client.async_is_answered,
            drop_idle=client.drop_idle,
            address_of=directory.endpoint_address_of,
            peer_addresses=lambda now_ms: directory.live_peer_addresses(),
            send=send,
            checker_address=checker_address,
            clock_ms=monotonic_ms,
            on_change=lambda change: decider().apply_liveness(change),
            seed=new_seed(),
        )
        self.limits = LimitExchange(
            vm_id=vm_id,
            live_vm_ids=lambda now_ms: (vm_id, *directory.live_peer_ids()),
            known_vm_count=directory.member_count,
            is_fleet_settled=lambda now_ms: is_ready(),
            peer_addresses=lambda now_ms: directory.live_peer_addresses(),
            send=send,
            clock_ms=monotonic_ms,
            on_change=lambda change: decider().apply_limit(change.endpoint_id, monotonic_ms()),
            seed=new_seed(),
        )

    def read_limit(self, dispatch: Dispatch, values: tuple[str, ...]) -> None:
        """Read the limit that an answer names, or names no longer."""
        self.limits.read_answer(
            EndpointId(dispatch.endpoint_id),
            ANY_INCARNATION,
            values,
            answer_to=dispatch.request_id,
        )

    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's findings; other messages are ignored."""
        self.liveness.receive(message, authenticated, address, now_ms)
        self.limits.receive(message, authenticated, address, now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the checks that are due, and repeat findings."""
        self.liveness.tick(now_ms)
        self.limits.tick(now_ms)

    def close(self) -> None:
        """Cancel the checks."""
        self.liveness.close()
