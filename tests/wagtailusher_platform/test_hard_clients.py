"""Tests of processes whose clients send much, read little or leave connections open.

They guard against a process that such clients end, as it runs out of memory or of descriptors, or
that serves no one else meanwhile.
"""

from __future__ import annotations

import asyncio
import signal

from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    chunk,
    response_head,
    stream,
    write_parts,
)
from tests.wagtailusher_platform.hard_clients import HOLD_S, MAX_BODY_BYTES, HardClientsTest, head

BODIES = 60
READERS = 80
PIPELINES = 100
PIPELINED = 40
LEFT_OPEN = 450
BODY = b"y" * (MAX_BODY_BYTES - 1)
LENGTH = f"Content-Length: {MAX_BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
LONG_ANSWER_BYTES = 8_000_000
PIPELINED_ANSWER_BYTES = 1_000_000
EVENT_BYTES = 16_384
EVENTS = 2_000
SLOW_S = 30.0


def sized(size_bytes: int, *lines: str, wait_s: float = 0.0) -> Behaviour:
    """Answer ordinary requests at once, others after `wait_s` with a body of some size."""

    def parts(request: Received) -> list[bytes]:
        is_hard = request.headers["x-attempt-id"].startswith("hard")
        body = b"a" * (size_bytes if is_hard else 4)
        length = f"Content-Length: {len(body)}"
        return [response_head(request, "200 OK", length, *lines) + body]

    answer = write_parts(parts)

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        if request.headers["x-attempt-id"].startswith("hard"):
            await asyncio.sleep(wait_s)
        return await answer(runner, request, writer)

    return behave


def large_event(request: Received, number: int) -> bytes:
    """Return a large event of a stream."""
    return b"id: %d\ndata: %b\n\n" % (number, b"e" * EVENT_BYTES)


def streams_and_answers() -> Behaviour:
    """Stream large events to clients of `/review/`, and answer the others."""
    answer, events = sized(4), stream(EVENTS, event_of=large_event)

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        is_stream = request.target.startswith("/review/")
        return await (events if is_stream else answer)(runner, request, writer)

    return behave


class BodiesTest(HardClientsTest):
    """Bodies of legal size."""

    async def test_whole_large_bodies_at_once(self) -> None:
        await self.async_start(sized(4, wait_s=SLOW_S))
        crowd = self.crowd()
        for number in range(BODIES):
            crowd.send(head(number, "/look/1", LENGTH), BODY + b"y")
        await self.async_check()

    async def test_large_bodies_that_stop_a_byte_short(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        for number in range(BODIES):
            crowd.send(head(number, "/look/1", LENGTH), BODY)
        await self.async_check()

    async def test_large_bodies_in_chunks_that_never_end(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        parts = [chunk(b"y" * 65_536)] * 63
        for number in range(BODIES):
            crowd.send(head(number, "/look/1", CHUNKED), *parts)
        await self.async_check()

    async def test_bodies_in_chunks_of_one_byte(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        flood = chunk(b"y") * 10_000
        for number in range(BODIES):
            crowd.send(head(number, "/look/1", CHUNKED), flood, repeat_last=True)
        await self.async_check()

    async def test_bodies_of_a_byte_at_a_time(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        for number in range(BODIES):
            first = BODY[: MAX_BODY_BYTES // 2]
            crowd.send(head(number, "/look/1", LENGTH), first, b"y", pause_s=0.1, repeat_last=True)
        await self.async_check()

    async def test_a_single_body_of_the_largest_size_is_served(self) -> None:
        await self.async_start(sized(4))
        for vm in self.vms:
            reader, writer = await asyncio.open_connection(*vm.front.rsplit(":", 1))
            writer.write(head(0, "/look/1", LENGTH) + BODY + b"y")
            self.assertIn(b" 200 ", await reader.readline())
            writer.close()
        await self.async_check()


class AnswersTest(HardClientsTest):
    """Answers that are not read, or slowly."""

    async def test_requests_sent_ahead_whose_answers_are_unread(self) -> None:
        await self.async_start(sized(PIPELINED_ANSWER_BYTES))
        crowd = self.crowd()
        for number in range(PIPELINES):
            requests = (head(number * PIPELINED + item, method="GET") for item in range(PIPELINED))
            crowd.send(b"".join(requests))
        await self.async_check()

    async def test_long_answers_that_are_read_slowly(self) -> None:
        await self.async_start(sized(LONG_ANSWER_BYTES))
        crowd = self.crowd()
        for number in range(READERS):
            crowd.send(head(number, method="GET"))
            await asyncio.sleep(0.05)
        await self.async_check()

    async def test_streams_that_are_read_slowly(self) -> None:
        await self.async_start(streams_and_answers())
        crowd = self.crowd()
        for number in range(READERS * 2):
            crowd.send(head(number, "/review/1", method="GET"))
        await self.async_check()


class ConnectionsTest(HardClientsTest):
    """Connections without a whole request."""

    async def test_connections_that_are_left_open(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        for _ in range(LEFT_OPEN):
            crowd.send()
        await self.async_check()

    async def test_heads_of_a_byte_at_a_time(self) -> None:
        await self.async_start(sized(4))
        crowd = self.crowd()
        for number in range(LEFT_OPEN):
            letters = (bytes([letter]) for letter in head(number, "/look/1", "X-Long: " + "z" * 99))
            crowd.send(*letters, pause_s=0.2)
        await self.async_check()


class MixTest(HardClientsTest):
    """All kinds at once."""

    def _send_all(self, vm: int = 0) -> None:
        """Send some of each kind to a VM."""
        crowd = self.crowd(vm)
        for number in range(0, BODIES, 3):
            crowd.send(head(number, "/look/1", LENGTH), BODY)
            crowd.send(head(number + 1, "/look/1", LENGTH), BODY + b"y")
            crowd.send(head(number + 2, "/look/1", CHUNKED), *[chunk(b"y" * 65_536)] * 63)
        for number in range(BODIES, BODIES + READERS):
            crowd.send(head(number, method="GET") * 2)

    async def test_mixed_clients(self) -> None:
        await self.async_start(sized(PIPELINED_ANSWER_BYTES))
        self._send_all()
        await self.async_check()

    async def test_requests_that_are_handed_on(self) -> None:
        brittle = "Server-Brittle: 5"
        await self.async_start(sized(4, brittle, wait_s=SLOW_S), vm_count=2, slots=1)
        for vm in range(len(self.vms)):
            crowd = self.crowd(vm)
            for number in range(vm * BODIES, (vm + 1) * BODIES):
                crowd.send(head(number, "/look/1", LENGTH), BODY + b"y")
        await self.async_check()

    async def test_mixed_clients_during_a_planned_stop(self) -> None:
        await self.async_start(sized(PIPELINED_ANSWER_BYTES), vm_count=2)
        self._send_all()
        await asyncio.sleep(HOLD_S / 2)
        stopped = self.vms[0]
        assert stopped.process is not None
        stopped.process.send_signal(signal.SIGTERM)
        self.assertEqual(await stopped.process.wait(), 0)
        self.check_peaks(stopped)
        self.vms.remove(stopped)
        await self.async_check()
