"""Stand-in for the platform's configuration service, which clients can only read and watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Self

from wagtailusher_http import Headers, HttpServer, Request, Response, async_serve
from wagtailusher_settings import Bundle

MS_PER_S = 1_000
WAIT_STEP_MS = 5
WAIT_STEPS = 2_000
PATH_PREFIX = "/v1/values/"


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A stored value with its version."""

    version: int
    content: bytes


@dataclass(slots=True, kw_only=True)
class ServiceBehaviour:
    """Configurable behaviour; a test may change it while the service runs."""

    calls_per_s: int | None = None
    retry_after_s: int = 0
    lag_ms: int = 0
    down: bool = False
    stale: bool = False
    silent: bool = False


@dataclass(slots=True, kw_only=True)
class ServiceCounters:
    """Counts of received calls; a watch counts as one call however long it waits."""

    calls: int = 0
    throttled: int = 0
    watches: int = 0
    waiting: int = 0
    most_waiting: int = 0
    most_calls_in_a_second: int = 0


class ConfigService:
    """Serves versioned values; only tests write them, as operators write through the platform."""

    def __init__(self, behaviour: ServiceBehaviour | None = None) -> None:
        """Create an empty service that does not listen until `async_start`."""
        self.behaviour = behaviour or ServiceBehaviour()
        self.counters = ServiceCounters()
        self._written: dict[str, StoredValue] = {}
        self._visible: dict[str, StoredValue] = {}
        self._changed = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: HttpServer | None = None
        self._second = 0
        self._calls_in_second = 0

    async def __aenter__(self) -> Self:
        await self.async_start()
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.async_close()

    @property
    def address(self) -> str:
        """Return the listening address as `host:port`."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.port}"

    async def async_start(self, port: int = 0) -> None:
        """Start listening; port 0 lets the kernel choose a free port."""
        self._server = await async_serve(self._async_handle, host="127.0.0.1", port=port)

    async def async_close(self) -> None:
        """Stop listening and abort all connections."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._server is not None:
            await self._server.async_close()

    def publish(self, key: str, content: bytes) -> int:
        """Write a value and return its version; it becomes visible after `lag_ms`."""
        previous = self._written.get(key)
        stored = StoredValue(1 if previous is None else previous.version + 1, content)
        self._written[key] = stored
        self._spawn(self._async_make_visible({key: stored}, self.behaviour.lag_ms))
        return stored.version

    def publish_bundle(self, key: str, bundle: Bundle) -> int:
        """Write the chunks of a document and then its manifest."""
        for name, content in bundle.chunks.items():
            if name not in self._written:
                self.publish(name, content)
        return self.publish(key, bundle.manifest)

    def backup(self) -> Mapping[str, StoredValue]:
        """Return a copy of all values."""
        return dict(self._written)

    def restore(self, copy: Mapping[str, StoredValue]) -> None:
        """Replace all values and their versions by those of a backup."""
        self._written = dict(copy)
        self._visible = {}
        self._spawn(self._async_make_visible(dict(copy), 0))

    async def async_end_staleness(self) -> None:
        """End staleness and make all written values visible."""
        self.behaviour.stale = False
        await self._async_make_visible(dict(self._written), 0)

    def _spawn(self, coroutine: object) -> None:
        """Run a coroutine as a background task that is cancelled on close."""
        assert asyncio.iscoroutine(coroutine)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_make_visible(self, values: Mapping[str, StoredValue], lag_ms: int) -> None:
        """Make values visible after a lag, unless the service is stale at that time."""
        if lag_ms:
            await asyncio.sleep(lag_ms / MS_PER_S)
        if self.behaviour.stale:
            return
        async with self._changed:
            self._visible.update(values)
            self._changed.notify_all()

    async def _async_handle(self, request: Request) -> Response:
        """Handle one request."""
        if not self._count_call():
            self.counters.throttled += 1
            headers = Headers([("retry-after", str(self.behaviour.retry_after_s))])
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS, headers=headers)
        if self.behaviour.silent:
            await asyncio.Event().wait()
        if self.behaviour.down:
            return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        key = self.key_of(request.path)
        if key is None:
            return Response(status=HTTPStatus.NOT_FOUND)
        version = request.query.get("version")
        if version is None:
            return _answer(self._visible.get(key))
        wait_ms = int(request.query.get("wait_ms", "0"))
        return await self._async_watch(key, int(version), wait_ms)

    def key_of(self, path: str) -> str | None:
        """Return the key of a request path, or None for an unknown path."""
        return path.removeprefix(PATH_PREFIX) if path.startswith(PATH_PREFIX) else None

    async def _async_watch(self, key: str, version: int, wait_ms: int) -> Response:
        """Wait until a value has a version other than the caller's, or the wait times out."""
        counters = self.counters
        counters.watches += 1
        counters.waiting += 1
        counters.most_waiting = max(counters.most_waiting, counters.waiting)
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S), self._changed:
                await self._changed.wait_for(lambda: self._has_other_version(key, version))
        except TimeoutError:
            return Response(status=HTTPStatus.NOT_MODIFIED)
        finally:
            counters.waiting -= 1
        return _answer(self._visible.get(key))

    def _has_other_version(self, key: str, version: int) -> bool:
        """Return whether a value exists in a version other than the caller's."""
        stored = self._visible.get(key)
        return stored is not None and stored.version != version

    def _count_call(self) -> bool:
        """Count a call and return False if it exceeds the rate limit of this second."""
        self.counters.calls += 1
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second = second
            self._calls_in_second = 0
        self._calls_in_second += 1
        most = max(self.counters.most_calls_in_a_second, self._calls_in_second)
        self.counters.most_calls_in_a_second = most
        limit = self.behaviour.calls_per_s
        return limit is None or self._calls_in_second <= limit


def _answer(stored: StoredValue | None) -> Response:
    """Return the response for a value with its version, or 404 if there is none."""
    if stored is None:
        return Response(status=HTTPStatus.NOT_FOUND)
    headers = Headers([("x-version", str(stored.version))])
    return Response(status=HTTPStatus.OK, headers=headers, body=stored.content)


async def async_wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raise TimeoutError after about 10 s."""
    for _ in range(WAIT_STEPS):
        if condition():
            return
        await asyncio.sleep(WAIT_STEP_MS / MS_PER_S)
    raise TimeoutError("condition did not hold within the time limit")
