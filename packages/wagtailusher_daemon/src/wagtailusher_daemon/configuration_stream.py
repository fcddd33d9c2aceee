"""Whole configurations between the VMs' processes, over HTTP and sealed."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Incarnation, VmId
from wagtailusher_daemon.const import FETCH_TIMEOUT_MS, PATH_CONFIGURATION
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

_SEAL_MARGIN_BYTES = 1_024

Answerer = Callable[[ContentRequest, VmId], ContentAnswer | None]


class ConfigurationStream:
    """Asks peers for content and answers theirs."""

    def __init__(
        self,
        client: HttpClient,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        secrets: tuple[bytes, ...],
    ) -> None:
        """Seal with the first secret and accept any of them."""
        self._client = client
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._authenticator = MessageAuthenticator(
            secrets[0],
            other_secrets=secrets[1:],
            max_bytes=MAX_STREAM_MESSAGE_BYTES + _SEAL_MARGIN_BYTES,
        )

    async def async_fetch(self, address: str | None, request: ContentRequest) -> ContentAnswer:
        """Return a peer's content; raises an error of the HTTP, wire or daemon layer."""
        if address is None:
            raise PeerStreamError("the peer has no address")
        answer = await self._client.async_request(
            address,
            "POST",
            PATH_CONFIGURATION,
            body=self._seal(request),
            head_timeout_ms=FETCH_TIMEOUT_MS,
        )
        body = await answer.async_read(FETCH_TIMEOUT_MS)
        if answer.status != HTTPStatus.OK:
            raise PeerStreamError(f"the peer answered with status {answer.status}")
        _, message = self._open(body)
        if not isinstance(message, ContentAnswer):
            raise PeerStreamError("the peer answered with another message")
        return message

    def answer(self, request: Request, answerer: Answerer) -> Response:
        """Answer a peer's request for content."""
        try:
            authenticated, message = self._open(request.body)
        except WireError as err:
            return error_response(HTTPStatus.FORBIDDEN, err.code, err.message)
        if not isinstance(message, ContentRequest):
            return error_response(
                HTTPStatus.BAD_REQUEST, ErrorCode.WIRE_MALFORMED, "a content request is needed"
            )
        content = answerer(message, authenticated.vm_id)
        if content is None:
            return error_response(
                HTTPStatus.NOT_FOUND, ErrorCode.SETTINGS_STALE, "nothing newer is held"
            )
        return Response(body=self._seal(content))

    def _seal(self, message: Message) -> bytes:
        """Return a sealed message."""
        return self._authenticator.sign(self._vm_id, self._incarnation, encode(message))

    def _open(self, body: bytes) -> tuple[AuthenticatedMessage, Message]:
        """Return a sealed message and its sender."""
        authenticated = self._authenticator.verify(body)
        return authenticated, decode(authenticated.payload)
