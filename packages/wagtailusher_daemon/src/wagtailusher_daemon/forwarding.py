"""Hands requests over to other VMs and vouches for them."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
import binascii
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from hashlib import sha256
import hmac

from pydantic import ValidationError

from wagtailusher_core import ErrorCode, Outcome, VmId, WagtailusherError
from wagtailusher_daemon.answers import coded_response, end_to_end_headers
from wagtailusher_daemon.clock import wall_ms
from wagtailusher_daemon.const import (
    DEFAULT_HEAD_TIMEOUT_MS,
    HEADER_FORWARDED,
    HEADER_TICKET,
    PATH_TICKETS,
    TICKET_TIMEOUT_MS,
)
from wagtailusher_daemon.exceptions import DaemonError
from wagtailusher_daemon.models import TicketAnswer
from wagtailusher_http import ClientAnswer, ConnectError, HttpClient, Request, Response
from wagtailusher_router import Forward, ForwardReason

MAX_VOUCHER_AGE_MS = 30_000
_SEPARATOR = "|"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sender:
    """The VM that handed a request over, the number of VMs that did, and the request's age."""

    vm_id: VmId
    sent_wall_ms: int
    hops: int
    age_ms: int


class Forwarder:
    """Sends requests to peers with a voucher that only the fleet can make."""

    def __init__(
        self,
        client: HttpClient,
        *,
        vm_id: VmId,
        secrets: tuple[bytes, ...],
        address_of: Callable[[VmId], str | None],
        silence_timeout_ms: Callable[[], int],
    ) -> None:
        """Vouch with the first secret and accept any of them."""
        self._client = client
        self._vm_id = vm_id
        self._secrets = secrets
        self._address_of = address_of
        self._silence_timeout_ms = silence_timeout_ms

    async def async_forward(self, request: Request, forward: Forward, held_ms: int) -> Response:
        """Relay a request, which was held for a while, to a peer and its answer back."""
        address = self._address_of(forward.vm_id)
        not_sent = _not_reached(forward)
        if address is None:
            return not_sent
        headers = request.headers
        if forward.ticket is not None:
            headers = headers.with_header(HEADER_TICKET, forward.ticket)
        headers = headers.with_header(HEADER_FORWARDED, self._vouch(request, held_ms))
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
            return not_sent
        except WagtailusherError:
            return coded_response(ErrorCode.PEER_UNAVAILABLE, Outcome.UNKNOWN)
        return Response(
            status=answer.status,
            headers=end_to_end_headers(answer),
            body=self._async_relay(answer),
        )

    async def _async_relay(self, answer: ClientAnswer) -> AsyncIterator[bytes]:
        """Yield the peer's answer; raises when it is not whole."""
        async for chunk in answer.iter_chunks(self._silence_timeout_ms()):
            yield chunk

    async def async_ticket(self, vm_id: VmId) -> str | None:
        """Return a ticket that a peer minted, or None."""
        address = self._address_of(vm_id)
        if address is None:
            return None
        try:
            answer = await self._client.async_request(
                address, "POST", PATH_TICKETS, head_timeout_ms=TICKET_TIMEOUT_MS
            )
            body = await answer.async_read(TICKET_TIMEOUT_MS)
            return TicketAnswer.model_validate_json(body).ticket
        except (WagtailusherError, ValidationError):
            return None

    def sender_of(self, request: Request) -> Sender | None:
        """Return the VM that handed a request over, or None when a caller sent it."""
        sender = self._read_voucher(request)
        if sender is not None and abs(wall_ms() - sender.sent_wall_ms) > MAX_VOUCHER_AGE_MS:
            raise _unauthenticated()
        return sender

    def _read_voucher(self, request: Request) -> Sender | None:
        """Return what a request's voucher says, of whatever age."""
        voucher = request.headers.get(HEADER_FORWARDED)
        if voucher is None:
            return None
        try:
            text, _, mac = voucher.partition(".")
            payload = urlsafe_b64decode(text)
            given = urlsafe_b64decode(mac)
            vm_id, sent_text, hops_text, age_text = payload.decode().split(_SEPARATOR)
            sender = Sender(
                vm_id=VmId(vm_id),
                sent_wall_ms=int(sent_text),
                hops=int(hops_text),
                age_ms=int(age_text),
            )
        except (ValueError, binascii.Error) as err:
            raise _unauthenticated() from err
        expected = (_mac(secret, payload, request) for secret in self._secrets)
        if not any(hmac.compare_digest(given, mac) for mac in expected):
            raise _unauthenticated()
        return sender

    def _vouch(self, request: Request, held_ms: int) -> str:
        """Return the voucher of a request, which counts the VMs and the time so far."""
        sender = self._read_voucher(request)
        hops = 1 if sender is None else sender.hops + 1
        age_ms = held_ms if sender is None else sender.age_ms + held_ms
        fields = (self._vm_id, str(wall_ms()), str(hops), str(age_ms))
        payload = _SEPARATOR.join(fields).encode()
        mac = _mac(self._secrets[0], payload, request)
        return f"{urlsafe_b64encode(payload).decode()}.{urlsafe_b64encode(mac).decode()}"


def _mac(secret: bytes, payload: bytes, request: Request) -> bytes:
    """Return the code that binds a voucher to its request."""
    content = sha256(request.body).digest() + f"{request.method} {request.target}\n".encode()
    return hmac.digest(secret, payload + b"\n" + content, "sha256")


def _unauthenticated() -> DaemonError:
    """Return the error of a voucher that the fleet did not make."""
    return DaemonError(
        "the request was not handed over by the fleet", code=ErrorCode.PEER_UNAUTHENTICATED
    )


def _not_reached(forward: Forward) -> Response:
    """Return the answer when the peer can't be reached.

    The home may have run an earlier attempt, so only a request that any VM may run was
    certainly not run.
    """
    if forward.reason is ForwardReason.HOME:
        return coded_response(ErrorCode.HOME_GONE, Outcome.UNKNOWN)
    return coded_response(ErrorCode.PEER_UNAVAILABLE, Outcome.NOT_RUN)
