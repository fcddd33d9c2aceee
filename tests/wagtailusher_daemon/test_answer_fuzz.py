"""Fuzz test: endpoints mix their own answers with late ones, parts of answers and garbage."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
import json
from random import Random
import unittest

from tests.standins.raw_endpoint import RawEngine, RawRequest, RawService, response
from tests.wagtailusher_daemon.fleet import MODEL, Fleet
from wagtailusher_core import WagtailusherError

SEED = 24
REQUESTS = 240
CALLERS = 20
ANSWER_TIMEOUT_S = 2
MAX_PIECE_BYTES = 200
EVENT_STREAM = "text/event-stream"
END_MARKER = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One caller's request; `name` is part of its content and of its answer."""

    name: str
    kind: str

    @property
    def path(self) -> str:
        """Return the path of the request."""
        return f"/services/stock/{self.name}" if self.kind == "service" else "/v1/chat/completions"

    @property
    def body(self) -> bytes:
        """Return the body of the request."""
        message = {"role": "user", "content": f"{self.kind}:{self.name}"}
        value = {"model": MODEL, "stream": self.kind == "stream", "messages": [message]}
        return json.dumps(value).encode()

    @property
    def answer(self) -> bytes:
        """Return the body of its complete answer."""
        if self.kind == "stream":
            return b"".join(self.events())
        return json.dumps({"answer": self.name, "padding": "x" * 30}).encode()

    def events(self) -> list[bytes]:
        """Return the events of its answer."""
        tokens = [f"data: {self.name} token {number}\n\n".encode() for number in range(6)]
        return [*tokens, END_MARKER]


class MixedReplies:
    """Writes replies that are drawn at random from a seed."""

    def __init__(self, generator: Random) -> None:
        self._generator = generator
        self._calls_by_id: dict[str, Call] = {}

    async def reply(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Write the reply to a request, often with other bytes before or behind it."""
        if request.method == "POST" and not request.target.startswith("/v1/requests/"):
            message = json.loads(request.body)["messages"][0]["content"]
            kind, name = message.split(":")
            self._calls_by_id[request.request_id] = Call(name=name, kind=kind)
        call = self._calls_by_id.get(request.request_id)
        if call is None or request.target.endswith("/cancel"):
            writer.write(response(b"{}", request.request_id))
            return
        for part in self._parts(request, call):
            await self._async_write(writer, part)
        ending = self._generator.randrange(8)
        if ending == 0:
            writer.transport.abort()
        elif ending < 3:
            writer.close()

    def _parts(self, request: RawRequest, call: Call) -> Iterator[bytes]:
        """Yield the parts of a reply; another answer may follow a part of the own one.

        Garbage does not, as nothing tells it from the rest of an event or of a service's body.
        """
        generator = self._generator
        if generator.random() < 0.25:
            yield self._late_answer(request, call)
        if generator.random() < 0.1:
            late = self._late_answer(request, call)
            yield late[: generator.randrange(len(late))]
        if generator.random() < 0.05:
            yield generator.randbytes(generator.randrange(1, 60))
        own = self._own_answer(request, call)
        if generator.random() < 0.2:
            yield own[: generator.randrange(len(own))]
            if generator.random() < 0.5:
                yield generator.choice((own, self._late_answer(request, call)))
            return
        yield own
        for _ in range(generator.randrange(3)):
            late = self._late_answer(request, call)
            cut = generator.choice((len(late), generator.randrange(len(late))))
            yield generator.choice((late[:cut], generator.randbytes(20)))

    def _own_answer(self, request: RawRequest, call: Call) -> bytes:
        """Return the complete answer to a request; a service may omit the identifier."""
        body = call.answer
        if request.method == "GET":
            offset = int(request.target.rpartition("=")[2])
            body = b"".join(call.events()[offset:])
        has_id = call.kind != "service" or self._generator.random() < 0.5
        return self._frame(body, request.request_id if has_id else None, call.kind)

    def _late_answer(self, request: RawRequest, call: Call) -> bytes:
        """Return the answer to another request; without an identifier only at engines."""
        if request.earlier and self._generator.random() < 0.5:
            earlier = request.earlier[-1]
            earlier_call = self._calls_by_id.get(earlier.request_id)
            if earlier_call is not None and earlier_call.kind != "service":
                return self._frame(earlier_call.answer, earlier.request_id, earlier_call.kind)
        other = Call(name="other", kind=call.kind)
        has_id = call.kind == "service" or self._generator.random() < 0.5
        return self._frame(other.answer, "another-request" if has_id else None, call.kind)

    def _frame(self, body: bytes, request_id: str | None, kind: str) -> bytes:
        """Return a response with a length, in chunks or, but for services, with neither."""
        content_type = EVENT_STREAM if kind == "stream" else "application/json"
        framing = self._generator.randrange(2 if kind == "service" else 3)
        if framing == 0:
            return response(body, request_id, content_type=content_type)
        head = response(b"", request_id, content_type=content_type, has_length=False)
        if framing == 2:
            return head + body
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in self._split(body))
        return head[:-2] + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    def _split(self, data: bytes) -> Iterator[bytes]:
        """Yield the data in pieces of random sizes."""
        while data:
            size = self._generator.randint(1, MAX_PIECE_BYTES)
            yield data[:size]
            data = data[size:]

    async def _async_write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write data in pieces that mostly arrive apart."""
        for piece in self._split(data):
            writer.write(piece)
            await asyncio.sleep(self._generator.choice((0, 0, 0.002)))


class AnswerFuzzTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes in an answer that are not its own, and a part that looks complete."""

    async def asyncSetUp(self) -> None:
        replies = MixedReplies(Random(SEED))
        self.fleet = Fleet(vm_count=1, engine_count=0)
        self.fleet.engines = [RawEngine(f"engine-{number}", replies.reply) for number in range(3)]
        self.fleet.booking = RawService("booking-0", replies.reply)
        self.complete: Counter[str] = Counter()
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def test_callers_receive_only_their_own_answer_and_complete_only_if_whole(self) -> None:
        generator = Random(SEED)
        calls = [
            Call(name=f"n{number}", kind=generator.choice(("stream", "whole", "service")))
            for number in range(REQUESTS)
        ]
        remaining = iter(calls)
        await asyncio.gather(*(self._async_run(remaining) for _ in range(CALLERS)))
        for kind in ("stream", "whole", "service"):
            self.assertGreater(self.complete[kind], 0, kind)

    async def _async_run(self, calls: Iterator[Call]) -> None:
        """Send calls one after another and check their answers."""
        for call in calls:
            received = bytearray()
            status, is_complete = await self._async_receive(call, received)
            if status != 200:
                self.assertFalse(is_complete and b'"code"' not in received, (call, received))
                continue
            self.assertTrue(call.answer.startswith(received), (call, received))
            if is_complete:
                self.assertEqual(bytes(received), call.answer)
                self.complete[call.kind] += 1

    async def _async_receive(self, call: Call, received: bytearray) -> tuple[int | None, bool]:
        """Receive an answer; return its status, and whether it is complete."""
        status = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self.fleet.async_post(call.path, call.body)
                status = answer.status
                async for chunk in answer.iter_chunks():
                    received += chunk
        except (WagtailusherError, TimeoutError):
            return status, False
        return status, True


if __name__ == "__main__":
    unittest.main()
