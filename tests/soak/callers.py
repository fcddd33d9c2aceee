"""Callers that reuse their connections, sometimes time out early, and record their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from zlib import crc32

from tests.soak.const import CALLER_COUNT, DEADLINE_MS, GUEST_KEY, GUEST_SHARE, MS_PER_S
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

KEYS = {MEMBERS: KEY, GUESTS: GUEST_KEY}
SESSION_COUNT = 12
PROMPTS = {
    Kind.REVIEW: ("6200,60", "policy:2500,session-{session}:1500,own-{attempt_id}:2200"),
    Kind.CHAT: ("800,120", "greeting:200,own-{attempt_id}:600"),
}
"""Input and output tokens, and the parts of the prompt prefix, of each kind of stream."""

Tamper = Callable[[SentRequest, bytes], bytes]
"""Changes the body that a caller received; injected to verify that the checks find it."""


async def async_run_callers(
    seed: int,
    observations: Observations,
    entries: list[EntryProcess],
    stop_event: asyncio.Event,
    tamper: Tamper | None,
) -> None:
    """Run all callers until the stop event is set."""
    async with asyncio.TaskGroup() as group:
        for number in range(CALLER_COUNT):
            rng = random.Random(f"{seed}-{number}")
            caller = _async_run_caller(
                f"{seed}-{number}", rng, observations, entries, stop_event, tamper
            )
            group.create_task(caller)


async def _async_run_caller(
    name: str,
    rng: random.Random,
    observations: Observations,
    entries: list[EntryProcess],
    stop_event: asyncio.Event,
    tamper: Tamper | None,
) -> None:
    """Send the requests of one caller sequentially until the stop event is set."""
    client = HttpClient(ClientLimits())
    number = 0
    while not stop_event.is_set():
        await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
        number += 1
        process = rng.choice(entries)
        kind = rng.choices(KINDS, WEIGHTS)[0]
        attempt_id = f"a-{name}-{number}"
        sent = SentRequest(
            attempt_id=attempt_id,
            kind=kind,
            entry=process.name,
            incarnation=process.incarnation,
            at_ms=monotonic_ms(),
            path=f"/{kind}/{attempt_id}",
            workspace=GUESTS if rng.random() < GUEST_SHARE else MEMBERS,
        )
        observations.sent[attempt_id] = sent
        timeout_s = GIVE_UP_S if rng.random() < GIVE_UP_SHARE else 2 * DEADLINE_MS / MS_PER_S
        status, body, is_complete = await _async_send(client, process.front, sent, timeout_s)
        observations.answered.append(
            CallerAnswer(
                attempt_id=attempt_id,
                status=status,
                body=tamper(sent, body) if tamper else body,
                is_complete=is_complete,
                at_ms=monotonic_ms(),
            )
        )
    client.close()


async def _async_send(
    client: HttpClient, address: str, sent: SentRequest, timeout_s: float
) -> tuple[int, bytes, bool]:
    """Return the status (0 without an answer), the body and whether the body is complete."""
    status = 0
    parts: list[bytes] = []

    def collect(chunk: bytes) -> bool:
        parts.append(chunk)
        return True

    try:
        async with asyncio.timeout(timeout_s):
            answer = await client.async_request(
                address,
                "POST" if sent.kind is Kind.BOOK else "GET",
                sent.path,
                _headers(sent),
                b"order" if sent.kind is Kind.BOOK else b"",
                host=HOST,
            )
            status = answer.status
            try:
                is_complete = await answer.async_relay_body(collect)
            except BaseException:
                answer.abort()
                raise
    except (HttpError, TimeoutError):
        return status, b"".join(parts), False
    return status, b"".join(parts), is_complete


def _headers(sent: SentRequest) -> Headers:
    """Return the header fields of a request; its session is one of `SESSION_COUNT`."""
    fields = {
        "x-attempt-id": sent.attempt_id,
        "x-deadline-ms": str(DEADLINE_MS),
        "authorization": f"Bearer {KEYS[sent.workspace]}",
    }
    if sent.kind in PROMPTS:
        tokens, parts = PROMPTS[sent.kind]
        session = crc32(sent.attempt_id.encode()) % SESSION_COUNT
        fields["x-token-count"] = tokens
        fields["x-prompt-prefix"] = parts.format(session=session, attempt_id=sent.attempt_id)
    return Headers(fields.items())
