"""Hands requests over to other VMs and vouches for them."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
import binascii
from collections.abc import AsyncIterator, Callable
from hashlib import sha256
import hmac

from wagtailusher_core import ErrorCode, Outcome, VmId, WagtailusherError
from wagtailusher_daemon.answers import coded_response
from wagtailusher_daemon.clock import wall_ms
from wagtailusher_daemon.const import DEFAULT_HEAD_TIMEOUT_MS, HEADER_FORWARDED
from wagtailusher_daemon.exceptions import DaemonError
from wagtailusher_http import ClientAnswer, ConnectError, HttpClient, Request, Response
from wagtailusher_router import Forward, ForwardReason

MAX_VOUCHER_AGE_MS = 30_000
_SEPARATOR = "|"
_HOP_HEADERS = frozenset(
    {"connection", "transfer-encoding", "content-length", "keep-alive", "date", "server"}
)


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

    async def async_forward(self, request: Request, forward: Forward) -> Response:
        """Relay a request to a peer and its answer back."""
        address = self._address_of(forward.vm_id)
        not_sent = _not_reached(forward)
        if address is None:
            return not_sent
        headers = request.headers.with_field(HEADER_FORWARDED, self._vouch(request))
        try:
            answer = await self._client.async_request(
                address,
                request.method,
                request.target,
                headers,
                request.body,
                fresh=True,
                head_timeout_ms=DEFAULT_HEAD_TIMEOUT_MS,
            )
        except ConnectError:
            return not_sent
        except WagtailusherError:
            return coded_response(ErrorCode.PEER_UNAVAILABLE, Outcome.UNKNOWN)
        return Response(
            status=answer.status,
            headers=answer.headers.without(_HOP_HEADERS),
            body=self._async_relay(answer),
        )

    async def _async_relay(self, answer: ClientAnswer) -> AsyncIterator[bytes]:
        """Yield the peer's answer; raises when it is not whole."""
        async for chunk in answer.iter_chunks(self._silence_timeout_ms()):
            yield chunk

    def sender_of(self, request: Request) -> VmId | None:
        """Return the VM that handed a request over, or None when a caller sent it."""
        voucher = request.headers.get(HEADER_FORWARDED)
        if voucher is None:
            return None
        try:
            text, _, mac = voucher.partition(".")
            payload = urlsafe_b64decode(text)
            given = urlsafe_b64decode(mac)
            vm_id, sent_text = payload.decode().split(_SEPARATOR)
            sent_wall_ms = int(sent_text)
        except (ValueError, binascii.Error) as err:
            raise _unauthenticated() from err
        expected = (_mac(secret, payload, request) for secret in self._secrets)
        if not any(hmac.compare_digest(given, mac) for mac in expected):
            raise _unauthenticated()
        if abs(wall_ms() - sent_wall_ms) > MAX_VOUCHER_AGE_MS:
            raise _unauthenticated()
        return VmId(vm_id)

    def _vouch(self, request: Request) -> str:
        """Return the voucher of a request."""
        payload = f"{self._vm_id}{_SEPARATOR}{wall_ms()}".encode()
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
