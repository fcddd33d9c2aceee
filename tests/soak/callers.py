"""Callers that reuse connections, sometimes leave early, and take up streams that broke."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
import random
from zlib import crc32

from tests.soak.const import (
    CALLER_COUNT,
    DEADLINE_MS,
    GUEST_KEY,
    GUEST_SHARE,
    MS_PER_S,
    STREAM_EVENTS,
)
from tests.soak.observations import GUESTS, MEMBERS, CallerAnswer, Kind, Observations, SentRequest
from tests.soak.processes import EntryProcess
from tests.wagtailusher_platform.fleet import HOST, KEY
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_http import ClientLimits, Headers, HttpClient
from wagtailusher_http.exceptions import HttpError

KINDS = (Kind.BOOK, Kind.LOOK, Kind.REVIEW, Kind.CHAT, Kind.PROBE)
WEIGHTS = (3, 2, 2, 2, 2)
PAUSE_S = 0.03
"""Mean time between two requests of a caller."""
GIVE_UP_SHARE = 0.05
GIVE_UP_S = 0.03
"""Caller timeout of `GIVE_UP_SHARE` of the requests; ends during a stream or before it begins."""

LEAVE_SHARE = 0.4
"""Share of the resumable streams whose caller closes its connection after some events."""
MAX_TRIES = 4
MAX_TRY_PAUSE_S = 0.4
MIN_LEFT_MS = 100
"""Tries of a stream, the pause before each, and the least time to the deadline for one more."""

EVENT_END = b"\n\n"

KEYS = {MEMBERS: KEY, GUESTS: GUEST_KEY}
SESSION_COUNT = 12
PROMPTS = {
    Kind.REVIEW: ("6200,60", "policy:2500,session-{session}:1500,own-{attempt_id}:2200"),
    Kind.CHAT: ("800,120", "greeting:200,own-{attempt_id}:600"),
}
"""Input and output tokens, and the parts of the prompt prefix, of each kind of stream."""

Tamper = Callable[[SentRequest, bytes], bytes]
"""Changes the body that a caller received; injected to verify that the checks find it."""

NameAttempt = Callable[[str], str]
"""Changes the attempt that a caller names as the one that began its stream."""


async def async_run_callers(
    seed: int,
    observations: Observations,
    entries: list[EntryProcess],
    stop_event: asyncio.Event,
    tamper: Tamper | None,
    name_attempt: NameAttempt | None,
) -> None:
    """Run all callers until the stop event is set."""
    async with asyncio.TaskGroup() as group:
        for number in range(CALLER_COUNT):
            caller = _Caller(
                name=f"{seed}-{number}",
                rng=random.Random(f"{seed}-{number}"),
                stream_rng=random.Random(f"{seed}-{number}-streams"),
                observations=observations,
                entries=entries,
                tamper=tamper,
                name_attempt=name_attempt,
            )
            group.create_task(caller.async_run(stop_event))


@dataclass(slots=True, kw_only=True)
class _Caller:
    """One caller, which sends its requests sequentially."""

    name: str
    rng: random.Random
    stream_rng: random.Random
    """Draws when streams are left and where they are taken up."""
    observations: Observations
    entries: list[EntryProcess]
    tamper: Tamper | None
    name_attempt: NameAttempt | None
    client: HttpClient = field(default_factory=lambda: HttpClient(ClientLimits()))

    async def async_run(self, stop_event: asyncio.Event) -> None:
        """Send requests until the stop event is set."""
        number = 0
        while not stop_event.is_set():
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_S))
            number += 1
            process = self.rng.choice(self.entries)
            kind = self.rng.choices(KINDS, WEIGHTS)[0]
            attempt_id = f"a-{self.name}-{number}"
            sent = SentRequest(
                attempt_id=attempt_id,
                kind=kind,
                entry=process.name,
                incarnation=process.incarnation,
                at_ms=monotonic_ms(),
                path=f"/{kind}/{attempt_id}",
                workspace=GUESTS if self.rng.random() < GUEST_SHARE else MEMBERS,
            )
            gives_up = self.rng.random() < GIVE_UP_SHARE
            timeout_s = GIVE_UP_S if gives_up else 2 * DEADLINE_MS / MS_PER_S
            answer = await self._async_try(process, sent, timeout_s)
            if kind is Kind.REVIEW:
                await self._async_take_up(sent, answer)
        self.client.close()

    async def _async_take_up(self, first: SentRequest, answer: CallerAnswer) -> None:
        """Take a broken stream up at any VM after its last event, a few times at most."""
        received = _count_events(answer)
        for number in range(2, MAX_TRIES + 1):
            is_over = answer.status == HTTPStatus.OK and answer.is_complete
            if is_over or not 0 < received < STREAM_EVENTS:
                return
            await asyncio.sleep(self.stream_rng.uniform(0.0, MAX_TRY_PAUSE_S))
            now_ms = monotonic_ms()
            left_ms = first.at_ms + DEADLINE_MS - now_ms
            if left_ms < MIN_LEFT_MS:
                return
            process = self.stream_rng.choice(self.entries)
            sent = replace(
                first,
                attempt_id=f"{first.attempt_id}-{number}",
                entry=process.name,
                incarnation=process.incarnation,
                at_ms=now_ms,
                deadline_ms=left_ms,
                resumes=first.attempt_id,
                resumes_after=received,
            )
            answer = await self._async_try(process, sent, left_ms / MS_PER_S)
            received += _count_events(answer)

    async def _async_try(
        self, process: EntryProcess, sent: SentRequest, timeout_s: float
    ) -> CallerAnswer:
        """Send one request and record it and its answer; return the answer."""
        self.observations.sent[sent.attempt_id] = sent
        leaves_after = STREAM_EVENTS
        if sent.kind is Kind.REVIEW and self.stream_rng.random() < LEAVE_SHARE:
            leaves_after = self.stream_rng.randrange(1, STREAM_EVENTS)
        status, body, is_complete = await self._async_send(
            process.front, sent, timeout_s, leaves_after
        )
        answer = CallerAnswer(
            attempt_id=sent.attempt_id,
            status=status,
            body=self.tamper(sent, body) if self.tamper else body,
            is_complete=is_complete,
            at_ms=monotonic_ms(),
        )
        self.observations.answered.append(answer)
        return answer

    async def _async_send(
        self, address: str, sent: SentRequest, timeout_s: float, leaves_after: int
    ) -> tuple[int, bytes, bool]:
        """Return the status (0 without an answer), the body and whether the body is complete.

        The connection is closed early after `leaves_after` events, if that is not all of them.
        """
        status = 0
        parts: list[bytes] = []

        def collect(chunk: bytes) -> bool:
            parts.append(chunk)
            is_leaving = leaves_after < STREAM_EVENTS
            return not (is_leaving and b"".join(parts).count(EVENT_END) >= leaves_after)

        try:
            async with asyncio.timeout(timeout_s):
                answer = await self.client.async_request(
                    address,
                    "POST" if sent.kind is Kind.BOOK else "GET",
                    sent.path,
                    _headers(sent, self.name_attempt),
                    b"order" if sent.kind is Kind.BOOK else b"",
                    host=HOST,
                )
                status = answer.status
                try:
                    is_complete = await answer.async_relay_body(collect)
                except BaseException:
                    answer.abort()
                    raise
                if not is_complete:
                    answer.abort()
        except (HttpError, TimeoutError):
            return status, b"".join(parts), False
        return status, b"".join(parts), is_complete


def _count_events(answer: CallerAnswer) -> int:
    """Return the number of whole events that a caller received."""
    return answer.body.count(EVENT_END) if answer.status == HTTPStatus.OK else 0


def _headers(sent: SentRequest, name_attempt: NameAttempt | None) -> Headers:
    """Return the header fields of a request; its session is one of `SESSION_COUNT`."""
    fields = {
        "x-attempt-id": sent.attempt_id,
        "x-deadline-ms": str(sent.deadline_ms),
        "authorization": f"Bearer {KEYS[sent.workspace]}",
    }
    if sent.resumes:
        fields["resumes"] = name_attempt(sent.resumes) if name_attempt else sent.resumes
        fields["last-event-id"] = str(sent.resumes_after)
    if sent.kind in PROMPTS:
        tokens, parts = PROMPTS[sent.kind]
        session = crc32(sent.attempt_id.encode()) % SESSION_COUNT
        fields["x-token-count"] = tokens
        fields["x-prompt-prefix"] = parts.format(session=session, attempt_id=sent.attempt_id)
    return Headers(fields.items())
