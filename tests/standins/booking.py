"""Stand-in for a booking service that counts how often each booking is executed."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
import json
import time

from wagtailusher_core import ErrorCode
from wagtailusher_http import (
    Headers,
    HttpServer,
    Request,
    Response,
    async_serve,
    error_response,
    json_response,
)

MS_PER_S = 1000
TRICKLE_PAUSE_S = 0.05


@dataclass(slots=True, kw_only=True)
class BookingBehaviour:
    """Configurable behaviour; a test may change it while the service runs."""

    service_ms: int = 10
    silent_after_execution: bool = False
    is_leaving: bool = False
    """Whether answers state that the service leaves."""
    refuses_until_s: float = 0.0
    """Until when calls are refused, with the time that is left as Retry-After."""
    answers_without_end: bool = False
    """Send one byte of the answer now and then, and never its end."""


async def _async_trickle() -> AsyncIterator[bytes]:
    """Yield a byte now and then, without end."""
    while True:
        yield b"x"
        await asyncio.sleep(TRICKLE_PAUSE_S)


class BookingStandin:
    """Executes every booking it receives and does not deduplicate repeated ones."""

    def __init__(self, service_id: str, behaviour: BookingBehaviour | None = None) -> None:
        """Create a service that does not listen until `async_start`."""
        self.service_id = service_id
        self.behaviour = behaviour or BookingBehaviour()
        self.executions: Counter[str] = Counter()
        self.arrived_s: list[float] = []
        self._server: HttpServer | None = None
        self._port = 0

    @property
    def address(self) -> str:
        """Return the listening address as `host:port`."""
        return f"127.0.0.1:{self._port}"

    async def async_start(self) -> None:
        """Start listening; a restart reuses the previous port."""
        self._server = await async_serve(self._async_handle, port=self._port)
        self._port = self._server.port

    async def async_stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            await self._server.async_close()

    async def _async_handle(self, request: Request) -> Response:
        """Execute a booking, or return the execution counts or the load report."""
        if request.path == "/executions":
            return json_response(200, dict(self.executions))
        if request.path == "/load":
            return json_response(200, {"running": 0, "waiting": 0, "cold": False})
        try:
            booking_id = str(json.loads(request.body)["booking_id"])
        except (ValueError, KeyError, TypeError):
            return error_response(400, ErrorCode.BAD_REQUEST, "a booking needs a booking_id")
        self.arrived_s.append(time.monotonic())
        left_s = self.behaviour.refuses_until_s - time.monotonic()
        if left_s > 0:
            refusal = error_response(503, ErrorCode.QUEUE_FULL, "the service wants no calls")
            headers = refusal.headers.with_header("retry-after", f"{left_s:.3f}")
            return replace(refusal, headers=headers)
        self.executions[booking_id] += 1
        if self.behaviour.silent_after_execution:
            await asyncio.Event().wait()
        if self.behaviour.answers_without_end:
            return Response(body=_async_trickle())
        await asyncio.sleep(self.behaviour.service_ms / MS_PER_S)
        fields = [("x-wagtailusher-leaving", "1")] if self.behaviour.is_leaving else []
        return json_response(200, {"booked": booking_id}, Headers(fields))
