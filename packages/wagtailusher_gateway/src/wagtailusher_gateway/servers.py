"""The listening sockets of one process."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from wagtailusher_core import ErrorCode
from wagtailusher_gateway.const import IDLE_TIMEOUT_MS, MAX_BODY_BYTES, MAX_HEAD_BYTES
from wagtailusher_gateway.models import CallerLimits
from wagtailusher_http import (
    CallerBudget,
    Handler,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    async_serve,
    error_response,
)

MAX_INTERNAL_CONNECTIONS = 256
"""Connection limit of each address that does not serve callers' requests; it is used by a few
peers and clients."""


class Servers:
    """Owns all listening sockets."""

    def __init__(self, max_connections: int, max_held_bytes: int) -> None:
        """Limit the callers' connections, and the bytes held for callers and peers together."""
        self._max_connections = max_connections
        self.budget = CallerBudget(max_held_bytes)
        self._caller_server: HttpServer | None = None
        self._peer_server: HttpServer | None = None
        self._internal_servers: list[HttpServer] = []

    async def async_serve_callers(self, address: str, handler: Handler) -> None:
        """Serve callers' requests at host:port."""
        self._caller_server = await _async_listen(address, handler, self._limits(None), self.budget)

    async def async_serve_peers(self, address: str, handler: Handler) -> None:
        """Serve requests that peers hand on at host:port."""
        self._peer_server = await _async_listen(address, handler, self._limits(None), self.budget)

    async def async_serve_path(self, address: str | None, path: str, handler: Handler) -> None:
        """Serve one path at host:port; do nothing if there is no address."""
        await self.async_serve_paths(address, {path: handler})

    async def async_serve_paths(self, address: str | None, handlers: Mapping[str, Handler]) -> None:
        """Serve some paths at host:port; do nothing if there is no address."""
        if address is None:
            return
        limits = HttpLimits(
            max_connections=MAX_INTERNAL_CONNECTIONS, idle_timeout_ms=IDLE_TIMEOUT_MS
        )
        self._internal_servers.append(await _async_listen(address, _serve_paths(handlers), limits))

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply a configuration's limits to callers' connections."""
        for server in (self._caller_server, self._peer_server):
            if server is not None:
                server.set_limits(self._limits(limits))

    def _limits(self, limits: CallerLimits | None) -> HttpLimits:
        """Return the limits of callers' connections; defaults until there is a configuration."""
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
        """Close callers' connections after their next answer."""
        if self._caller_server is not None:
            self._caller_server.disable_keep_alive()

    @property
    def active_count(self) -> int:
        """Return the number of callers' and peers' connections with something on its way."""
        servers = (self._caller_server, self._peer_server)
        return sum(server.active_count for server in servers if server is not None)

    @property
    def closed_unused_count(self) -> int:
        """Return how many unused connections gave way to new ones."""
        servers = (self._caller_server, self._peer_server)
        return sum(server.closed_unused_count for server in servers if server is not None)

    def refuse_unread(self, response: Response) -> None:
        """Answer the requests of callers and peers that have not arrived completely."""
        for server in (self._caller_server, self._peer_server):
            if server is not None:
                server.refuse_unread(response)

    async def async_close(self) -> None:
        """Close all sockets."""
        for server in (self._caller_server, self._peer_server, *self._internal_servers):
            if server is not None:
                await server.async_close()


def _serve_paths(handlers: Mapping[str, Handler]) -> Handler:
    """Return a handler that serves some paths."""

    async def async_handle(request: Request) -> Response:
        handler = handlers.get(request.path)
        if handler is not None:
            return await handler(request)
        return error_response(
            HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "this address does not serve the path"
        )

    return async_handle


async def _async_listen(
    address: str, handler: Handler, limits: HttpLimits, budget: CallerBudget | None = None
) -> HttpServer:
    """Serve a handler at host:port."""
    host, _, port = address.rpartition(":")
    return await async_serve(handler, host=host, port=int(port), limits=limits, budget=budget)
