"""Hands callers' requests on to a VM that reaches the endpoints that this one doesn't reach."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
import logging
from random import Random

import msgspec

from wagtailusher_core import ErrorCode, Outcome, VmId, WagtailusherError
from wagtailusher_daemon.clock import monotonic_ms, wall_ms
from wagtailusher_gateway.const import MAX_ANSWER_BYTES, MAX_FORWARD_PEERS, MAX_REFUSAL_BYTES
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.dispatcher import RoutedRequest
from wagtailusher_gateway.events import EventFramer, StreamPosition
from wagtailusher_gateway.exceptions import ForwardError, RefusedError
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.forward_terms import (
    HEADER_FORWARD,
    ForwardTerms,
    read_outcome,
    sign_terms,
)
from wagtailusher_gateway.member_choice import order_for_forwarding
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import Member, Workspace
from wagtailusher_gateway.options import GatewayOptions
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_http import (
    BodySink,
    ClientAnswer,
    ConnectError,
    HttpClient,
    Request,
    SendCancelledError,
)
from wagtailusher_wire import RequestSigner

_LOGGER = logging.getLogger(__name__)

_PRIVATE_FIELDS = frozenset({"authorization", HEADER_FORWARD})
"""Headers of a caller that a peer doesn't get."""


_FINAL_STATUS = HTTPStatus.INTERNAL_SERVER_ERROR
"""Least status of a refusal that is passed on; the others tell that the peer knows another
configuration."""

_PASSED_OVER_CODES = frozenset({ErrorCode.NO_ENDPOINT, ErrorCode.PEER_BEHIND, ErrorCode.DRAINING})
"""Refusals after which another peer is asked."""


class _Error(msgspec.Struct):
    """What a refusal of a peer says of the request."""

    code: ErrorCode
    message: str = ""
    retry_after_ms: int | None = None


class _Refusal(msgspec.Struct):
    error: _Error


_REFUSAL_DECODER = msgspec.json.Decoder(_Refusal)


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardedAnswer:
    """The head of an endpoint's answer that a peer passes on."""

    answer: ClientAnswer
    vm_id: VmId

    async def async_relay_events(
        self, position: StreamPosition, sink: BodySink, left_ms: int
    ) -> None:
        """Relay complete events until the end of the stream; raise an error if it is cut."""
        framer = EventFramer(position)

        def deliver(chunk: bytes) -> bool:
            events = framer.feed(chunk)
            if events:
                sink.write(events)
            return not sink.needs_drain and not framer.has_failed

        while not await self.answer.async_relay_body(deliver, left_ms):
            framer.raise_failure()
            await sink.async_drain()
        framer.finish()


class RequestForwarder:
    """Offers requests to peers, one after the other, until one takes it.

    A peer that took a request decides on it: its sends, repeats and refusals are the request's. If
    the connection to it breaks, the request may have run.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        client: HttpClient,
        signer: RequestSigner,
        view_cache: ViewCache,
        takers: Callable[[str], Iterable[Member]],
        wall_ms: Callable[[], int],
        count_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        """`takers` returns the peers that take requests for a service, the preferred ones first.

        `count_event` gets "taken", "refused" or "broken".
        """
        self._vm_id = vm_id
        self._client = client
        self.signer = signer
        self._view_cache = view_cache
        self._takers = takers
        self._wall_ms = wall_ms
        self._count_event = count_event

    async def async_forward(
        self,
        request: Request,
        routed_request: RoutedRequest,
        workspace: Workspace | None,
        fingerprint: str,
        delivery: Delivery,
        left_ms: int,
    ) -> ForwardedAnswer | None:
        """Return the answer that a peer got, or None if no peer took the request.

        Raises RefusedError if a peer refused it, or if the connection to the peer broke.
        """
        token = sign_terms(self.signer, self._new_terms(workspace, fingerprint, left_ms), request)
        for member in list(self._takers(routed_request.service.name))[:MAX_FORWARD_PEERS]:
            try:
                answer = await self._async_send(
                    member, request, routed_request, token, delivery, left_ms
                )
            except (ConnectError, SendCancelledError):
                continue
            except WagtailusherError as err:
                raise self._broken(member.vm_id, delivery, err) from err
            outcome = read_outcome(
                self.signer, answer.headers, routed_request.terms.attempt_id, request
            )
            if outcome is Outcome.COMPLETED:
                self._count_event("taken")
                return ForwardedAnswer(answer=answer, vm_id=member.vm_id)
            refusal = await self._async_read_refusal(member, answer, outcome, delivery)
            is_final = refusal.status >= _FINAL_STATUS and refusal.code not in _PASSED_OVER_CODES
            if is_final or refusal.outcome is not Outcome.NOT_RUN:
                raise refusal
        return None

    def _new_terms(
        self, workspace: Workspace | None, fingerprint: str, left_ms: int
    ) -> ForwardTerms:
        """Return the terms of a request that is handed on now."""
        view = self._view_cache.view
        return ForwardTerms(
            vm_id=self._vm_id,
            sent_wall_ms=self._wall_ms(),
            left_ms=left_ms,
            workspace_id=workspace.workspace_id if workspace is not None else None,
            fingerprint=fingerprint,
            configuration_version=self._view_cache.configuration_version,
            view_epoch=view.epoch,
            view_revision=view.revision,
        )

    async def async_read(
        self, forwarded: ForwardedAnswer, delivery: Delivery, left_ms: int
    ) -> bytes:
        """Return the complete body of an answer, or raise RefusedError."""
        try:
            return await forwarded.answer.async_read(left_ms, max_bytes=MAX_ANSWER_BYTES)
        except WagtailusherError as err:
            raise self._broken(forwarded.vm_id, delivery, err) from err

    async def _async_send(
        self,
        member: Member,
        request: Request,
        routed_request: RoutedRequest,
        token: str,
        delivery: Delivery,
        left_ms: int,
    ) -> ClientAnswer:
        """Send a request to a peer and return the head of its response."""

        def may_send() -> bool:
            delivery.record_sent()
            return True

        answer = await self._client.async_request(
            member.peer_address,
            request.method,
            request.target,
            request.headers.without(_PRIVATE_FIELDS).with_header(HEADER_FORWARD, token),
            request.body,
            may_send=may_send,
            new_connection=True,
            head_timeout_ms=left_ms,
            host=routed_request.terms.host,
        )
        answer.prevent_reuse()
        return answer

    async def _async_read_refusal(
        self, member: Member, answer: ClientAnswer, outcome: Outcome | None, delivery: Delivery
    ) -> RefusedError:
        """Return a peer's refusal; raise one that says "unknown" if it states no outcome."""
        try:
            if outcome is None:
                raise ForwardError("the response does not state the request's outcome")
            body = await answer.async_read(max_bytes=MAX_REFUSAL_BYTES)
            error = _REFUSAL_DECODER.decode(body).error
        except (WagtailusherError, msgspec.MsgspecError) as err:
            raise self._broken(member.vm_id, delivery, err) from err
        self._count_event("refused")
        if outcome is Outcome.NOT_RUN:
            delivery.record_refused(counts=False)
        else:
            delivery.record_failure()
        return RefusedError(
            error.message,
            code=error.code,
            status=answer.status,
            outcome=outcome,
            retry_after_ms=error.retry_after_ms,
        )

    def _broken(self, vm_id: VmId, delivery: Delivery, err: Exception) -> RefusedError:
        """Return the refusal of a request that a peer may have run."""
        self._count_event("broken")
        _LOGGER.info(
            "Request: the connection to peer %s broke: %s",
            vm_id,
            err,
            extra={"event": "forward_broken", "peer": vm_id},
        )
        delivery.record_failure()
        return delivery.error(
            "the connection to another VM broke", ErrorCode.PEER_UNAVAILABLE, retry_after_ms=0
        )


def new_forwarder(
    options: GatewayOptions,
    *,
    client: HttpClient,
    fleet: FleetDecider,
    view_cache: ViewCache,
    place_holders: Callable[[str], frozenset[VmId] | None],
    metrics: GatewayMetrics,
    generator: Random,
) -> RequestForwarder:
    """Return the forwarder of a VM, which chooses among the peers of its fleet.

    `place_holders` returns those that may send requests for a service, None if all may. Peers with
    an older configuration come last; those of a build that does not state its configuration are
    left out unless they know the same state of the store.
    """

    def takers(service: str) -> Iterable[Member]:
        holders = place_holders(service)
        own_revision = view_cache.view.store_revision
        members = [
            member
            for peer, member in fleet.live_peers(monotonic_ms())
            if (holders is None or member.vm_id in holders)
            and (member.configuration_version or peer.view_revision >= own_revision)
        ]
        in_order = order_for_forwarding(members, service, options.failure_domain_id, generator)
        own_version = view_cache.configuration_version
        return sorted(in_order, key=lambda member: member.configuration_version < own_version)

    return RequestForwarder(
        vm_id=options.vm_id,
        client=client,
        signer=RequestSigner((options.fleet_secret,)),
        view_cache=view_cache,
        takers=takers,
        wall_ms=wall_ms,
        count_event=lambda event: metrics.forwarded.inc({"event": event}),
    )
