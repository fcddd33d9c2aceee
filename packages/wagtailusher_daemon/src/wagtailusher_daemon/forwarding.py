"""Forwards requests to other VMs, authenticated by a signed token in a header."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from pydantic import ValidationError

from wagtailusher_core import ErrorCode, Outcome, VmId, WagtailusherError
from wagtailusher_daemon.clock import wall_ms
from wagtailusher_daemon.const import (
    DEFAULT_HEAD_TIMEOUT_MS,
    HEADER_FORWARDED,
    HEADER_TICKET,
    MAX_TICKET_BYTES,
    PATH_TICKETS,
    TICKET_TIMEOUT_MS,
)
from wagtailusher_daemon.exceptions import DaemonError
from wagtailusher_daemon.models import TicketAnswer
from wagtailusher_daemon.responses import coded_response, end_to_end_headers
from wagtailusher_http import ClientAnswer, ConnectError, HttpClient, Request, Response
from wagtailusher_router import Forward, ForwardReason
from wagtailusher_wire import RequestSigner, UnauthenticatedPeerError

MAX_TOKEN_AGE_MS = 30_000
_SEPARATOR = "|"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sender:
    """The VM that forwarded a request, the number of forwards so far, and the request's age."""

    vm_id: VmId
    sent_wall_ms: int
    hops: int
    age_ms: int


class Forwarder:
    """Forwards requests to peers with a token that is signed with the fleet's secret."""

    def __init__(
        self,
        client: HttpClient,
        *,
        vm_id: VmId,
        secrets: tuple[bytes, ...],
        address_of: Callable[[VmId], str | None],
        silence_timeout_ms: Callable[[], int],
    ) -> None:
        """Sign with the first secret and accept any of them."""
        self._client = client
        self._vm_id = vm_id
        self._signer = RequestSigner(secrets)
        self._address_of = address_of
        self._silence_timeout_ms = silence_timeout_ms

    async def async_forward(self, request: Request, forward: Forward, held_ms: int) -> Response:
        """Forward a request, held here for `held_ms`, to a peer and return the peer's response."""
        address = self._address_of(forward.vm_id)
        unreachable = _unreachable_response(forward)
        if address is None:
            return unreachable
        headers = request.headers
        if forward.ticket is not None:
            headers = headers.with_header(HEADER_TICKET, forward.ticket)
        headers = headers.with_header(HEADER_FORWARDED, self._new_token(request, held_ms))
        try:
            answer = await self._client.async_request(
                address,
                request.method,
                request.target,
                headers,
                request.body,
                new_connection=True,
                head_timeout_ms=DEFAULT_HEAD_TIMEOUT_MS,
            )
        except ConnectError:
            return unreachable
        except WagtailusherError:
            return coded_response(ErrorCode.PEER_UNAVAILABLE, Outcome.UNKNOWN)
        return Response(
            status=answer.status,
            headers=end_to_end_headers(answer),
            body=self._async_relay(answer),
        )

    async def _async_relay(self, answer: ClientAnswer) -> AsyncIterator[bytes]:
        """Yield the peer's answer; raise AnswerError when it is incomplete or times out."""
        async for chunk in answer.iter_chunks(self._silence_timeout_ms()):
            yield chunk

    async def async_request_ticket(self, vm_id: VmId) -> str | None:
        """Return a ticket issued by a peer, or None when the peer did not return one."""
        address = self._address_of(vm_id)
        if address is None:
            return None
        try:
            answer = await self._client.async_request(
                address, "POST", PATH_TICKETS, head_timeout_ms=TICKET_TIMEOUT_MS
            )
            body = await answer.async_read(
                TICKET_TIMEOUT_MS, max_bytes=MAX_TICKET_BYTES, timeout_ms=TICKET_TIMEOUT_MS
            )
            return TicketAnswer.model_validate_json(body).ticket
        except (WagtailusherError, ValidationError):
            return None

    def verify_sender(self, request: Request) -> Sender | None:
        """Return the VM that forwarded a request, or None when a caller sent it."""
        sender = self._read_token(request)
        if sender is not None and abs(wall_ms() - sender.sent_wall_ms) > MAX_TOKEN_AGE_MS:
            raise _unauthenticated_error()
        return sender

    def _read_token(self, request: Request) -> Sender | None:
        """Verify and parse a request's forwarding token, without a check of its age."""
        token = request.headers.get(HEADER_FORWARDED)
        if token is None:
            return None
        try:
            payload = self._signer.verify(token, request.method, request.target, request.body)
            vm_id, sent_text, hops_text, age_text = payload.decode().split(_SEPARATOR)
            return Sender(
                vm_id=VmId(vm_id),
                sent_wall_ms=int(sent_text),
                hops=int(hops_text),
                age_ms=int(age_text),
            )
        except (ValueError, UnauthenticatedPeerError) as err:
            raise _unauthenticated_error() from err

    def _new_token(self, request: Request, held_ms: int) -> str:
        """Return a request's forwarding token, with its forwards and held time added up."""
        sender = self._read_token(request)
        hops = 1 if sender is None else sender.hops + 1
        age_ms = held_ms if sender is None else sender.age_ms + held_ms
        fields = (self._vm_id, str(wall_ms()), str(hops), str(age_ms))
        payload = _SEPARATOR.join(fields).encode()
        return self._signer.sign(payload, request.method, request.target, request.body)


def _unauthenticated_error() -> DaemonError:
    return DaemonError(
        "the request was not forwarded by a VM of this fleet", code=ErrorCode.PEER_UNAUTHENTICATED
    )


def _unreachable_response(forward: Forward) -> Response:
    """Return the response when the peer can't be reached.

    The home may have run an earlier attempt, so the outcome is `not_run` only for a request
    that any VM may run.
    """
    if forward.reason is ForwardReason.HOME:
        return coded_response(ErrorCode.HOME_GONE, Outcome.UNKNOWN)
    return coded_response(ErrorCode.PEER_UNAVAILABLE, Outcome.NOT_RUN)
