"""The listening sockets of one process."""

from __future__ import annotations

from http import HTTPStatus

from wagtailusher_core import ErrorCode
from wagtailusher_gateway.const import IDLE_TIMEOUT_MS, MAX_BODY_BYTES, MAX_HEAD_BYTES
from wagtailusher_gateway.models import CallerLimits
from wagtailusher_http import (
    Handler,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    async_serve,
    error_response,
)

SIDE_CONNECTIONS = 256
"""Connections to each address that is not for callers' requests; a few peers and clients."""


class Servers:
    """Owns every listening socket."""

    def __init__(self, max_connections: int) -> None:
        """Prepare to listen; `max_connections` bounds those of callers' requests."""
        self._max_connections = max_connections
        self._callers: HttpServer | None = None
        self._others: list[HttpServer] = []

    async def async_serve_callers(self, address: str, handler: Handler) -> None:
        """Serve callers' requests at host:port."""
        self._callers = await _async_listen(address, handler, self._limits(None))

    async def async_serve_path(self, address: str | None, path: str, handler: Handler) -> None:
        """Serve one path at host:port, or nothing where there is no address."""
        if address is None:
            return
        limits = HttpLimits(max_connections=SIDE_CONNECTIONS, idle_timeout_ms=IDLE_TIMEOUT_MS)
        self._others.append(await _async_listen(address, _only(path, handler), limits))

    def apply_limits(self, limits: CallerLimits) -> None:
        """Put a configuration's limits in force."""
        if self._callers is not None:
            self._callers.set_limits(self._limits(limits))

    def _limits(self, limits: CallerLimits | None) -> HttpLimits:
        """Return the limits of callers' connections."""
        if limits is None:
            return HttpLimits(
                max_head_bytes=MAX_HEAD_BYTES,
                max_body_bytes=MAX_BODY_BYTES,
                max_connections=self._max_connections,
                idle_timeout_ms=IDLE_TIMEOUT_MS,
            )
        return HttpLimits(
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_connections=self._max_connections,
            idle_timeout_ms=limits.idle_timeout_ms,
            receive_timeout_ms=max(limits.head_timeout_ms, limits.idle_timeout_ms),
        )

    def disable_keep_alive(self) -> None:
        """Tell callers with each answer that the connection closes after it."""
        if self._callers is not None:
            self._callers.disable_keep_alive()

    async def async_close(self) -> None:
        """Close every socket."""
        for server in (self._callers, *self._others):
            if server is not None:
                await server.async_close()


def _only(path: str, handler: Handler) -> Handler:
    """Return a handler that serves one path."""

    async def async_handle(request: Request) -> Response:
        if request.path == path:
            return await handler(request)
        return error_response(
            HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "nothing is served here"
        )

    return async_handle


async def _async_listen(address: str, handler: Handler, limits: HttpLimits) -> HttpServer:
    """Serve a handler at host:port."""
    host, _, port = address.rpartition(":")
    return await async_serve(handler, host=host, port=int(port), limits=limits)
