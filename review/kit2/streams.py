"""A runner's work on streams, their clients, and what is counted of both."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import random
import re

from standins import Client, Head, Reply, Runner, Vm, now, response, route

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")


class StreamWork:
    """Streams `events` events; goes on behind `Last-Event-Id`. Each event names its version."""

    def __init__(self, *, events: int, gap_s: float, first_s: float = 0.06) -> None:
        self.events, self.gap_s, self.first_s = events, gap_s, first_s

    async def behave(
        self, runner: Runner, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Run one request."""
        run = runner.begin(head)
        version, outcome = runner.version, "broken off"
        try:
            await asyncio.sleep(self.first_s)
            start = response(head, "200 OK", b"", "Content-Type: text/event-stream")
            writer.write(start.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
            first = int(head.fields.get("last-event-id") or "0") + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {version} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            outcome = "complete"
        finally:
            runner.end(run, outcome)
        return True


@dataclass
class Stream:
    """One stream of a client: its first attempt and those that took it up."""

    replies: list[Reply] = field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        """Return the software versions whose events the client has."""
        return {
            found[2].decode() for reply in self.replies for found in _EVENT.finditer(reply.body)
        }

    @property
    def last_id(self) -> str | None:
        """Return the identifier of the last event that the client has."""
        found = [int(match[1]) for reply in self.replies for match in _EVENT.finditer(reply.body)]
        return str(max(found)) if found else None


def prompt_fields() -> dict[str, str]:
    """Return the fields of a prompt of its own."""
    return {
        "X-Model": "m",
        "X-Token-Count": "640,54",
        "X-Prompt-Prefix": f"{random.randrange(1 << 32):08x}:640",
    }


async def take(client: Client, stream: Stream, front: str, *, first_id: str | None = None) -> Reply:
    """Begin a stream, or take it up behind its last event; `first_id` brought its first event."""
    fields = prompt_fields()
    if first_id is not None and stream.last_id is not None:
        fields |= {"Last-Event-Id": stream.last_id, "Resumes": first_id}
    reply = client.new_reply()
    stream.replies.append(reply)
    await client.ask(front, "/review/1", body=b"x" * 2000, fields=fields, reply=reply)
    return reply


async def load(
    client: Client, vms: list[Vm], per_s: float, for_s: float, tasks: list[asyncio.Future]
) -> list[Stream]:
    """Begin streams at random moments at random VMs for a time; return them."""
    streams, ends = [], now() + for_s
    while True:
        await asyncio.sleep(random.expovariate(per_s))
        if now() >= ends:
            return streams
        stream = Stream()
        streams.append(stream)
        tasks.append(asyncio.ensure_future(take(client, stream, random.choice(vms).front)))


def most_in_a_second(times: list[float]) -> int:
    """Return the most moments that lie within one second."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def stream_configuration(cold_s: float, cold_per_s: float, slots: int) -> tuple[list, list]:
    """Return the route and the service of resumable streams, with the figures of the sheet."""
    routes = [
        route(
            "review",
            "streaming",
            "pool",
            max_attempts=2,
            stream_resume=True,
            gap_aim_ms=300,
            session_affinity=True,
        )
    ]
    engine = {"slots": slots, "kv_capacity_tokens": 275666, "stride": 6}
    service = {
        "name": "pool",
        "max_connections": 480,
        "cold_start_s": cold_s,
        "cold_per_s": cold_per_s,
        "engine": engine,
    }
    return routes, [service]
