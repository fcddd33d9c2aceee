"""A mixed load of several classes, with the result of each request."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
import json
from random import Random

from wagtailusher_bench.report import Mark, RequestRow
from wagtailusher_client import BrokenAnswerError, CallerClient, CallerError
from wagtailusher_core import Outcome

MS_PER_S = 1000
END_MARKER = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadClass:
    """One class of the load with its target, its mean send interval and its answer length."""

    name: str
    target_ms: int
    interval_ms: int
    tokens: int = 8


@dataclass(slots=True, kw_only=True)
class Tally:
    """Counts of the results of one class's requests."""

    sent: int = 0
    on_target: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    broken: int = 0
    lost: int = 0


@dataclass(slots=True, kw_only=True)
class Ledger:
    """The tallies, the outcome reported to the caller of each request, and report rows."""

    started_s: float
    tallies: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    reported_outcomes: dict[str, Outcome] = field(default_factory=dict)
    rows: list[RequestRow | Mark] = field(default_factory=list)

    def mark(self, text: str) -> None:
        """Record an injected failure or change as a mark of the report."""
        self.rows.append(Mark(at_ms=self._at_ms(), text=text))

    def count(self, load_class: LoadClass, result: str) -> None:
        """Count the result of a request; `result` is a field name of `Tally`."""
        tally = self.tallies[load_class.name]
        setattr(tally, result, getattr(tally, result) + 1)
        self.rows.append(
            RequestRow(
                at_ms=self._at_ms(),
                class_id=load_class.name,
                result=result,
                tokens=load_class.tokens,
            )
        )

    def _at_ms(self) -> int:
        """Return the milliseconds since the start of the run."""
        return int((asyncio.get_running_loop().time() - self.started_s) * MS_PER_S)


class Load:
    """Sends requests at random intervals for a given duration."""

    def __init__(
        self, client: CallerClient, classes: tuple[LoadClass, ...], model: str, seed: int
    ) -> None:
        """Create a load; `seed` determines the intervals."""
        self._client = client
        self._classes = classes
        self._model = model
        self._rng = Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.ledger = Ledger(started_s=asyncio.get_running_loop().time())

    async def async_run(self, duration_ms: int) -> None:
        """Send requests for a duration and wait for all answers."""
        senders = (self._async_send_class(item, duration_ms) for item in self._classes)
        await asyncio.gather(*senders)
        await asyncio.gather(*self._tasks)

    async def _async_send_class(self, load_class: LoadClass, duration_ms: int) -> None:
        """Send the requests of one class."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_ms / MS_PER_S
        number = 0
        while loop.time() < ends_at:
            number += 1
            request_name = f"{load_class.name}-{number}"
            task = asyncio.create_task(self._async_request(load_class, request_name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            pause_ms = self._rng.expovariate(1 / load_class.interval_ms)
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def _async_request(self, load_class: LoadClass, request_name: str) -> None:
        """Send one request and count its result."""
        self.ledger.tallies[load_class.name].sent += 1
        started = asyncio.get_running_loop().time()
        outcome = Outcome.COMPLETED
        try:
            took_ms = await self._async_send(load_class, request_name, started)
            result = "on_target" if took_ms <= load_class.target_ms else "late"
        except BrokenAnswerError as err:
            outcome, result = err.outcome, "broken"
        except CallerError as err:
            outcome = err.outcome
            result = "not_run" if outcome is Outcome.NOT_RUN else "unknown"
        except Exception:
            outcome, result = Outcome.UNKNOWN, "lost"
        self.ledger.reported_outcomes[request_name] = outcome
        self.ledger.count(load_class, result)

    async def _async_send(self, load_class: LoadClass, request_name: str, started: float) -> float:
        """Send one request; return the time to its first token, or to the end of a service answer.

        The time is in milliseconds.
        """
        loop = asyncio.get_running_loop()
        if load_class.name == "booking":
            body = json.dumps({"booking_id": request_name}).encode()
            await self._client.async_call_once("bookings", "new", body)
            return (loop.time() - started) * MS_PER_S
        if load_class.name == "stock":
            body = json.dumps({"booking_id": request_name}).encode()
            await self._client.async_call("stock", "check", body)
            return (loop.time() - started) * MS_PER_S
        return await self._async_chat(load_class, request_name, started)

    async def _async_chat(self, load_class: LoadClass, request_name: str, started: float) -> float:
        """Stream a chat completion, check its tokens, and return the ms to the first one."""
        value = {
            "model": self._model,
            "stream": True,
            "max_tokens": load_class.tokens,
            "messages": [{"role": "user", "content": request_name}],
        }
        first_ms: float | None = None
        parts: list[bytes] = []
        chunks = self._client.async_stream_chat(
            json.dumps(value).encode(), class_id=load_class.name
        )
        async for chunk in chunks:
            if first_ms is None:
                first_ms = (asyncio.get_running_loop().time() - started) * MS_PER_S
            parts.append(chunk)
        body = b"".join(parts)
        expected = [f"t{number} ".encode() for number in range(load_class.tokens)]
        if not body.endswith(END_MARKER) or [body.count(text) for text in expected] != [1] * len(
            expected
        ):
            raise ValueError("answer is incomplete or has repeated tokens")
        assert first_ms is not None
        return first_ms
