"""The listening sockets of one process and who is served on each."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from wagtailusher_core import ErrorCode
from wagtailusher_gateway.const import IDLE_TIMEOUT_MS, MAX_BODY_BYTES, MAX_HEAD_BYTES
from wagtailusher_gateway.models import CallerLimits
from wagtailusher_gateway.view_exchange import PATH_VIEW
from wagtailusher_http import (
    Handler,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    async_serve,
    error_response,
)

if TYPE_CHECKING:
    from wagtailusher_gateway.app import GatewayApp

PATH_METRICS = "/metrics"
SIDE_CONNECTIONS = 256
"""Connections to each address that is not for callers' requests; a few peers and clients."""


class Servers:
    """Owns every listening socket."""

    def __init__(self, app: GatewayApp) -> None:
        """Prepare for an app that is being built."""
        self._app = app
        self._callers: HttpServer | None = None
        self._others: list[HttpServer] = []

    async def async_start(self) -> None:
        """Listen wherever the options say."""
        options = self._app.options
        self._callers = await _async_listen(
            options.listen, self._app.new_caller_api().async_handle, self._limits(None)
        )
        handlers: dict[str | None, Handler] = {
            options.view_listen: self._async_view,
            options.ready_listen: self._async_ready,
            options.directory_listen: self._async_directory,
            options.metrics_listen: self._async_metrics,
        }
        limits = HttpLimits(max_connections=SIDE_CONNECTIONS, idle_timeout_ms=IDLE_TIMEOUT_MS)
        for address, handler in handlers.items():
            if address is not None:
                self._others.append(await _async_listen(address, handler, limits))

    def apply_limits(self, limits: CallerLimits) -> None:
        """Put a configuration's limits in force."""
        if self._callers is not None:
            self._callers.change_limits(self._limits(limits))

    def _limits(self, limits: CallerLimits | None) -> HttpLimits:
        """Return the limits of callers' connections."""
        max_connections = self._app.options.max_connections
        if limits is None:
            return HttpLimits(
                max_head_bytes=MAX_HEAD_BYTES,
                max_body_bytes=MAX_BODY_BYTES,
                max_connections=max_connections,
                idle_timeout_ms=IDLE_TIMEOUT_MS,
            )
        return HttpLimits(
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_connections=max_connections,
            idle_timeout_ms=limits.idle_timeout_ms,
            receive_timeout_ms=max(limits.head_timeout_ms, limits.idle_timeout_ms),
        )

    def announce_close(self) -> None:
        """Tell callers with each answer that the connection closes after it."""
        if self._callers is not None:
            self._callers.announce_close()

    async def async_close(self) -> None:
        """Close every socket."""
        for server in (self._callers, *self._others):
            if server is not None:
                await server.async_close()

    async def _async_view(self, request: Request) -> Response:
        """Serve peers."""
        return self._app.views.answer(request) if request.path == PATH_VIEW else _not_found()

    async def _async_ready(self, request: Request) -> Response:
        """Say whether callers may come."""
        if request.path != self._app.dialect.ready_path:
            return _not_found()
        ready = self._app.is_ready
        return Response(status=HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    async def _async_directory(self, request: Request) -> Response:
        """Say which addresses callers may use."""
        if request.path != self._app.dialect.address_path:
            return _not_found()
        return self._app.answer_addresses()

    async def _async_metrics(self, request: Request) -> Response:
        """Serve the metrics."""
        if request.path != PATH_METRICS:
            return _not_found()
        self._app.observe()
        return self._app.metrics.render(request.headers.get("accept") or "text/plain")


def _not_found() -> Response:
    """Return the answer for an unknown path."""
    return error_response(HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "nothing is served here")


async def _async_listen(address: str, handler: Handler, limits: HttpLimits) -> HttpServer:
    """Serve a handler at host:port."""
    host, _, port = address.rpartition(":")
    return await async_serve(handler, host=host, port=int(port), limits=limits)
