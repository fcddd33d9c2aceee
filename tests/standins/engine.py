"""Stand-in for a model engine that streams tokens at a fixed rate over the engine's HTTP API."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
import json
import time

from wagtailusher_core import ErrorCode, WagtailusherError
from wagtailusher_http import (
    Headers,
    HttpLimits,
    HttpServer,
    Request,
    Response,
    async_serve,
    error_response,
    json_response,
)

MS_PER_S = 1000
END_MARKER = b"data: [DONE]\n\n"


@dataclass(slots=True, kw_only=True)
class EngineBehaviour:
    """Configurable behaviour; a test may change it while the engine runs."""

    first_token_ms: int = 20
    between_tokens_ms: int = 5
    default_tokens: int = 8
    concurrency_limit: int = 8
    cold: bool = False
    cold_limit: int = 1
    cold_requests_left: int = 0
    silent_after_tokens: int | None = None
    malformed_response: bool = False
    stop_after_tokens: int | None = None
    wrong_request_id: bool = False
    crash_word: str | None = None
    report_lag_ms: int = 0
    limit: str | None = None
    """Requests a second from all VMs together, named in answers."""
    is_leaving: bool = False
    """Whether answers state that the engine leaves."""
    refuses_until_s: float = 0.0
    """Until when chats are refused, with the time that is left as Retry-After."""
    idle_timeout_ms: int = 75_000
    """Time after which an idle connection is closed; applies from the next start on."""


@dataclass(slots=True, kw_only=True)
class EngineCounters:
    """Counts of requests, crashes and peak concurrency as seen by the engine."""

    started: int = 0
    completed: int = 0
    cancelled: int = 0
    resumed: int = 0
    crashes: int = 0
    collapsed: int = 0
    most_in_flight: int = 0
    most_in_flight_cold: int = 0
    started_at_ms: list[int] = field(default_factory=list)


class Generation:
    """The events of one answer; any number of connections may read them."""

    def __init__(self, request_id: str) -> None:
        """Create a generation without events."""
        self.request_id = request_id
        self.cancelled = False
        self._events: list[bytes] = []
        self._changed = asyncio.Condition()

    async def async_append(self, event: bytes) -> None:
        """Add an event and notify the readers."""
        async with self._changed:
            self._events.append(event)
            self._changed.notify_all()

    async def async_events(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the events from an offset as they are added, up to the end marker."""
        while True:
            async with self._changed:
                while len(self._events) <= offset:
                    await self._changed.wait()
            event = self._events[offset]
            yield event
            if event == END_MARKER:
                return
            offset += 1


class EngineStandin:
    """An engine with continuous batching that crashes under overload while it is cold."""

    def __init__(self, engine_id: str, behaviour: EngineBehaviour | None = None) -> None:
        """Create an engine that does not listen until `async_start`."""
        self.engine_id = engine_id
        self.behaviour = behaviour or EngineBehaviour()
        self.counters = EngineCounters()
        self.incarnation = 1
        self._generations: dict[str, Generation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight = 0
        self._server: HttpServer | None = None
        self._port = 0

    @property
    def address(self) -> str:
        """Return the listening address as `host:port`."""
        return f"127.0.0.1:{self._port}"

    async def async_start(self, port: int = 0) -> None:
        """Start listening; a restart reuses the previous port."""
        limits = HttpLimits(idle_timeout_ms=self.behaviour.idle_timeout_ms)
        self._server = await async_serve(self._async_handle, port=port or self._port, limits=limits)
        self._port = self._server.port

    async def async_stop(self) -> None:
        """Abort all connections and generations, as a crash does."""
        if self._server is not None:
            await self._server.async_close()
        for task in tuple(self._tasks):
            task.cancel()
        self._in_flight = 0
        self._generations.clear()

    async def async_crash(self, down_ms: int = 200) -> None:
        """Crash and restart cold, as a new incarnation, after `down_ms`."""
        self.counters.crashes += 1
        await self.async_stop()
        await asyncio.sleep(down_ms / MS_PER_S)
        self.incarnation += 1
        self.behaviour.cold = True
        await self.async_start()

    async def _async_handle(self, request: Request) -> Response:
        """Handle one request of the engine's HTTP API."""
        if request.path == "/v1/chat/completions":
            return await self._async_complete(request)
        if request.path == "/load":
            return json_response(200, self._load())
        parts = request.path.strip("/").split("/")
        if parts[:2] == ["v1", "requests"] and parts[3:] == ["cancel"]:
            self._cancel(parts[2])
            return json_response(200, {"cancelled": parts[2]})
        if parts[:2] == ["v1", "requests"] and parts[3:] == ["stream"]:
            return self._resume(parts[2], int(request.query.get("offset", "0")))
        return error_response(404, ErrorCode.BAD_REQUEST, "no such path")

    def _cancel(self, request_id: str) -> None:
        """Cancel a generation before its next token."""
        generation = self._generations.get(request_id)
        if generation is not None:
            generation.cancelled = True

    def _load(self) -> dict[str, object]:
        """Return the load report."""
        limit = self.behaviour.concurrency_limit
        return {
            "running": min(self._in_flight, limit),
            "waiting": max(0, self._in_flight - limit),
            "kv_used_share": min(1.0, self._in_flight / limit),
            "cold": self.behaviour.cold,
            "incarnation": self.incarnation,
            "age_ms": self.behaviour.report_lag_ms,
        }

    async def _async_complete(self, request: Request) -> Response:
        """Run one chat completion."""
        value = json.loads(request.body)
        request_id = request.headers.get("x-request-id") or "none"
        self._count_start()
        refusal = self._refuse(request_id)
        if refusal is not None:
            return refusal
        if self._overloads_while_cold() or self._contains_crash_word(value):
            asyncio.get_running_loop().create_task(self.async_crash())
            await asyncio.Event().wait()
        if self.behaviour.malformed_response:
            return Response(body=b"\x00garbage", headers=Headers([("content-type", "x/y")]))
        tokens = int(value.get("max_tokens") or self.behaviour.default_tokens)
        returned_id = "someone-else" if self.behaviour.wrong_request_id else request_id
        headers = Headers([("x-request-id", returned_id)])
        if self.behaviour.is_leaving:
            headers = headers.with_header("x-wagtailusher-leaving", "1")
        if self.behaviour.limit is not None:
            headers = headers.with_header("x-wagtailusher-limit", self.behaviour.limit)
        stream = self._async_first_stream(self._start_generation(request_id, tokens))
        if value.get("stream"):
            headers = headers.with_header("content-type", "text/event-stream")
            return Response(headers=headers, body=stream)
        text = "".join([_text_of(chunk) async for chunk in stream])
        return json_response(200, _complete_answer(request_id, text, tokens), headers)

    def _refuse(self, request_id: str) -> Response | None:
        """Return the refusal while the engine wants no requests."""
        left_s = self.behaviour.refuses_until_s - time.monotonic()
        if left_s <= 0:
            return None
        self._in_flight -= 1
        refusal = error_response(503, ErrorCode.QUEUE_FULL, "the engine wants no requests")
        headers = refusal.headers.with_header("x-request-id", request_id)
        return replace(refusal, headers=headers.with_header("retry-after", f"{left_s:.3f}"))

    def _count_start(self) -> None:
        """Count a request that the engine received."""
        self._in_flight += 1
        counters = self.counters
        counters.started += 1
        counters.started_at_ms.append(int(time.monotonic() * MS_PER_S))
        counters.most_in_flight = max(counters.most_in_flight, self._in_flight)
        if self.behaviour.cold:
            counters.most_in_flight_cold = max(counters.most_in_flight_cold, self._in_flight)

    def _overloads_while_cold(self) -> bool:
        """Return whether the engine is cold and above its cold limit, which crashes it."""
        if not self.behaviour.cold or self._in_flight <= self.behaviour.cold_limit:
            return False
        self.counters.collapsed += 1
        return True

    def _contains_crash_word(self, value: dict[str, object]) -> bool:
        """Return whether the request contains the word that crashes the engine."""
        word = self.behaviour.crash_word
        return word is not None and word in json.dumps(value)

    def _start_generation(self, request_id: str, tokens: int) -> Generation:
        """Start a generation, which continues even if the connection is closed."""
        generation = Generation(request_id)
        self._generations[request_id] = generation
        task = asyncio.get_running_loop().create_task(self._async_generate(generation, tokens))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return generation

    async def _async_generate(self, generation: Generation, tokens: int) -> None:
        """Append events at the engine's token rate until completed or cancelled."""
        try:
            await asyncio.sleep(self.behaviour.first_token_ms / MS_PER_S)
            for number in range(tokens):
                if generation.cancelled:
                    self.counters.cancelled += 1
                    return
                await generation.async_append(_event(generation.request_id, f"t{number} "))
                await asyncio.sleep(self._between_tokens_ms() / MS_PER_S)
            self._warm_up()
            self.counters.completed += 1
            await generation.async_append(END_MARKER)
        finally:
            self._in_flight = max(0, self._in_flight - 1)

    def _between_tokens_ms(self) -> float:
        """Return the time between tokens, which grows above the concurrency limit."""
        slowdown = max(1.0, self._in_flight / self.behaviour.concurrency_limit)
        return self.behaviour.between_tokens_ms * slowdown

    def _warm_up(self) -> None:
        """Count a completed request; the cold start ends after `cold_requests_left` of them."""
        behaviour = self.behaviour
        if not behaviour.cold:
            return
        behaviour.cold_requests_left = max(0, behaviour.cold_requests_left - 1)
        behaviour.cold = behaviour.cold_requests_left > 0

    def _resume(self, request_id: str, offset: int) -> Response:
        """Resume the stream of an answer at an event number."""
        generation = self._generations.get(request_id)
        if generation is None:
            refusal = error_response(404, ErrorCode.BAD_REQUEST, "no such request")
            return replace(refusal, headers=refusal.headers.with_header("x-request-id", request_id))
        self.counters.resumed += 1
        headers = Headers([("x-request-id", request_id), ("content-type", "text/event-stream")])
        return Response(headers=headers, body=generation.async_events(offset))

    async def _async_first_stream(self, generation: Generation) -> AsyncIterator[bytes]:
        """Yield the events of a new answer, with the faults configured for its first stream."""
        number = 0
        async for event in generation.async_events(0):
            if number == self.behaviour.silent_after_tokens:
                await asyncio.Event().wait()
            if number == self.behaviour.stop_after_tokens:
                raise WagtailusherError("engine stopped before the end of its stream")
            yield event
            number += 1


def _event(request_id: str, text: str) -> bytes:
    """Return one server-sent event of a stream."""
    value = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}],
    }
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _text_of(event: bytes) -> str:
    """Return the text of an event."""
    if event == END_MARKER:
        return ""
    text: str = json.loads(event.removeprefix(b"data: "))["choices"][0]["delta"]["content"]
    return text


def _complete_answer(request_id: str, text: str, tokens: int) -> dict[str, object]:
    """Return the complete answer of a request that is not streamed."""
    return {
        "id": request_id,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
        "usage": {"completion_tokens": tokens},
    }
