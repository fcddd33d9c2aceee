"""Transfers complete configurations between the VMs' processes in signed messages over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Incarnation, VmId
from wagtailusher_daemon.const import FETCH_TIMEOUT_MS, FULL_FETCH_TIMEOUT_MS, PATH_CONFIGURATION
from wagtailusher_daemon.exceptions import PeerStreamError
from wagtailusher_http import HttpClient, Request, Response, error_response
from wagtailusher_wire import (
    MAX_STREAM_MESSAGE_BYTES,
    AuthenticatedMessage,
    ContentAnswer,
    ContentRequest,
    Message,
    MessageAuthenticator,
    WireError,
    decode,
    encode,
)

_AUTH_MARGIN_BYTES = 1_024

ContentProvider = Callable[[ContentRequest, VmId], ContentAnswer | None]


class ConfigurationStream:
    """Fetches configuration content from peers and answers their requests."""

    def __init__(
        self,
        client: HttpClient,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        secrets: tuple[bytes, ...],
    ) -> None:
        """Sign with the first secret and accept any of them."""
        self._client = client
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._authenticator = MessageAuthenticator(
            secrets[0],
            other_secrets=secrets[1:],
            max_bytes=MAX_STREAM_MESSAGE_BYTES + _AUTH_MARGIN_BYTES,
        )

    async def async_fetch(self, address: str | None, request: ContentRequest) -> ContentAnswer:
        """Return a peer's content; raise WagtailusherError of the HTTP, wire or daemon layer."""
        if address is None:
            raise PeerStreamError("the peer has no address")
        answer = await self._client.async_request(
            address,
            "POST",
            PATH_CONFIGURATION,
            body=self._sign(request),
            head_timeout_ms=FETCH_TIMEOUT_MS,
        )
        body = await answer.async_read(
            FETCH_TIMEOUT_MS,
            max_bytes=MAX_STREAM_MESSAGE_BYTES + _AUTH_MARGIN_BYTES,
            timeout_ms=FULL_FETCH_TIMEOUT_MS,
        )
        if answer.status != HTTPStatus.OK:
            raise PeerStreamError(f"the peer answered with status {answer.status}")
        _, message = self._verify(body)
        if not isinstance(message, ContentAnswer):
            raise PeerStreamError("the peer answered with an unexpected message type")
        return message

    def answer(self, request: Request, get_content: ContentProvider) -> Response:
        """Return the response to a peer's request for content."""
        try:
            authenticated, message = self._verify(request.body)
        except WireError as err:
            return error_response(HTTPStatus.FORBIDDEN, err.code, err.message)
        if not isinstance(message, ContentRequest):
            return error_response(
                HTTPStatus.BAD_REQUEST, ErrorCode.WIRE_MALFORMED, "expected a content request"
            )
        content = get_content(message, authenticated.vm_id)
        if content is None:
            return error_response(
                HTTPStatus.NOT_FOUND, ErrorCode.SETTINGS_STALE, "no newer content is available"
            )
        return Response(body=self._sign(content))

    def _sign(self, message: Message) -> bytes:
        return self._authenticator.sign(self._vm_id, self._incarnation, encode(message))

    def _verify(self, body: bytes) -> tuple[AuthenticatedMessage, Message]:
        """Verify and decode a body; raise WireError when it is malformed or not authentic."""
        authenticated = self._authenticator.verify(body)
        return authenticated, decode(authenticated.payload)
