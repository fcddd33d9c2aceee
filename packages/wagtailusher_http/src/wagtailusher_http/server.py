"""HTTP server that serves each connection in its own task."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
import ssl

from wagtailusher_core import Outcome, callback
from wagtailusher_http.caller_budget import CallerBudget
from wagtailusher_http.const import BACKLOG, MS_PER_S, HttpLimits
from wagtailusher_http.messages import Request, Response
from wagtailusher_http.request_reader import GetRefusalOutcome
from wagtailusher_http.server_connection import ServerConnection, ServerContext
from wagtailusher_http.socket_protocol import SocketProtocol

Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """A listening socket and the tasks of its connections."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        get_refusal_outcome: GetRefusalOutcome,
        budget: CallerBudget | None = None,
    ) -> None:
        """Hold at most what a budget allows, which servers may share."""
        self.budget = budget or CallerBudget(limits.max_held_bytes)
        self.closed_unused_count = 0
        self._context = ServerContext(
            handler=handler,
            get_refusal_outcome=get_refusal_outcome,
            budget=self.budget,
            flood_lane=asyncio.Lock(),
        )
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._connections: dict[ServerConnection, asyncio.Task[None]] = {}
        self._draining = False
        self._closing_after_answer = False

    @property
    def port(self) -> int:
        """Return the listening port, or 0 before the server is started."""
        if self._server is None:
            return 0
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def active_count(self) -> int:
        """Return the number of connections with a request or a response on its way."""
        return sum(connection.is_active for connection in self._connections)

    async def async_start(self, host: str, port: int, ssl_context: ssl.SSLContext | None) -> None:
        """Start listening on a host and port; port 0 selects a free one."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: SocketProtocol(self._accept), host, port, ssl=ssl_context, backlog=BACKLOG
        )

    @callback
    def _accept(self, socket: SocketProtocol) -> None:
        """Serve a connection in a new task, or close it when draining or at the limit."""
        if self._draining or not self._make_room():
            socket.close()
            return
        connection = ServerConnection(socket, self._context, self._limits)
        if self._closing_after_answer:
            connection.close_after_answer()
        task = asyncio.get_running_loop().create_task(connection.async_run())
        self._connections[connection] = task
        task.add_done_callback(lambda _: self._connections.pop(connection, None))

    def _make_room(self) -> bool:
        """Return whether there is room for a connection; at the limit, an unused one is closed.

        That is the one that has been without a complete head for the longest time.
        """
        if len(self._connections) < self._limits.max_connections:
            return True
        unused = [connection for connection in self._connections if connection.has_head_only]
        if not unused:
            return False
        oldest = min(unused, key=lambda connection: connection.waits_since_ms)
        self._connections.pop(oldest)
        self.closed_unused_count += 1
        oldest.close_unused()
        return True

    @callback
    def set_max_body_bytes(self, max_body_bytes: int) -> None:
        """Set the limit of request bodies, for open connections as well."""
        self.set_limits(replace(self._limits, max_body_bytes=max_body_bytes))

    @callback
    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; open connections use them from their next request on."""
        self._limits = limits
        for connection in self._connections:
            connection.limits = limits

    @callback
    def disable_keep_alive(self) -> None:
        """Close each connection after its next response, sent with `Connection: close`.

        New connections are still accepted.
        """
        self._closing_after_answer = True
        for connection in self._connections:
            connection.close_after_answer()

    @callback
    def refuse_unread(self, response: Response) -> None:
        """Answer the requests that have not arrived completely, and close their connections."""
        for connection in tuple(self._connections):
            connection.refuse_unread(response)

    @callback
    def stop_accepting(self) -> None:
        """Stop accepting; open connections close after the response in progress."""
        self._draining = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close_when_idle()

    async def async_drain(self, grace_ms: int) -> bool:
        """Stop accepting, let responses finish, and return whether all did within the grace."""
        self.stop_accepting()
        if not self._connections:
            return True
        _, pending = await asyncio.wait(
            tuple(self._connections.values()), timeout=grace_ms / MS_PER_S
        )
        return not pending

    async def async_close(
        self, interrupted: Response | None = None, unread: Response | None = None
    ) -> None:
        """Stop accepting and cancel the tasks of all connections.

        Requests without an answer get `interrupted`, and those that have not arrived completely
        `unread`, if these are given.
        """
        self.stop_accepting()
        tasks = tuple(self._connections.values())
        for connection, task in tuple(self._connections.items()):
            connection.interruption = interrupted
            if unread is None or not connection.refuse_unread(unread):
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def async_serve(
    handler: Handler,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    limits: HttpLimits | None = None,
    ssl_context: ssl.SSLContext | None = None,
    get_refusal_outcome: GetRefusalOutcome = lambda headers: Outcome.NOT_RUN,
    budget: CallerBudget | None = None,
) -> HttpServer:
    """Start a server for the handler and return it; servers may share a budget.

    `get_refusal_outcome` returns, from the request headers, the outcome reported for a request
    that is refused before its handler is called.
    """
    server = HttpServer(handler, limits or HttpLimits(), get_refusal_outcome, budget)
    await server.async_start(host, port, ssl_context)
    return server
