"""Callers that keep their connections, give up now and then, and note what they get."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from zlib import crc32

from tests.soak.const import CALLER_COUNT, DEADLINE_MS, GUEST_KEY, GUEST_SHARE, MS_PER_S
from tests.soak.observations import GUESTS, MEMBERS, Answered, Kind, Observations, Sent
from tests.soak.processes import EntryProcess
from tests.wagtailusher_platform.fleet import HOST, KEY
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_http import ClientLimits, Headers, HttpClient
from wagtailusher_http.exceptions import HttpError

KINDS = (Kind.BOOK, Kind.LOOK, Kind.REVIEW, Kind.CHAT, Kind.PROBE)
WEIGHTS = (3, 2, 2, 2, 2)
PAUSE_S = 0.03
"""Mean pause between two requests of a caller."""
GIVE_UP_SHARE = 0.05
GIVE_UP_S = 0.03
"""Time after which an impatient caller leaves; within a stream or before its first event."""

KEYS = {MEMBERS: KEY, GUESTS: GUEST_KEY}
SESSION_COUNT = 12
PROMPTS = {
    Kind.REVIEW: ("6200,60", "policy:2500,session-{session}:1500,own-{attempt_id}:2200"),
    Kind.CHAT: ("800,120", "greeting:200,own-{attempt_id}:600"),
}
"""Tokens in and out, and the parts of a prompt, of each kind of stream."""

Tamper = Callable[[Sent, bytes], bytes]
"""Changes what a caller got; a fault planted on purpose, to test the checks."""


async def async_call(
    seed: int,
    seen: Observations,
    entries: list[EntryProcess],
    stopping: asyncio.Event,
    tamper: Tamper | None,
) -> None:
    """Let all callers send until the play is over."""
    async with asyncio.TaskGroup() as group:
        for number in range(CALLER_COUNT):
            chance = random.Random(f"{seed}-{number}")
            caller = _async_caller(f"{seed}-{number}", chance, seen, entries, stopping, tamper)
            group.create_task(caller)


async def _async_caller(
    name: str,
    chance: random.Random,
    seen: Observations,
    entries: list[EntryProcess],
    stopping: asyncio.Event,
    tamper: Tamper | None,
) -> None:
    """Send one request after the other."""
    client = HttpClient(ClientLimits())
    number = 0
    while not stopping.is_set():
        await asyncio.sleep(chance.expovariate(1 / PAUSE_S))
        number += 1
        process = chance.choice(entries)
        kind = chance.choices(KINDS, WEIGHTS)[0]
        attempt_id = f"a-{name}-{number}"
        sent = Sent(
            attempt_id=attempt_id,
            kind=kind,
            entry=process.name,
            incarnation=process.incarnation,
            at_ms=monotonic_ms(),
            path=f"/{kind}/{attempt_id}",
            workspace=GUESTS if chance.random() < GUEST_SHARE else MEMBERS,
        )
        seen.sent[attempt_id] = sent
        patience_s = GIVE_UP_S if chance.random() < GIVE_UP_SHARE else 2 * DEADLINE_MS / MS_PER_S
        status, body, is_whole = await _async_ask(client, process.front, sent, patience_s)
        seen.answered.append(
            Answered(
                attempt_id=attempt_id,
                status=status,
                body=tamper(sent, body) if tamper else body,
                is_whole=is_whole,
                at_ms=monotonic_ms(),
            )
        )
    client.close()


async def _async_ask(
    client: HttpClient, address: str, sent: Sent, patience_s: float
) -> tuple[int, bytes, bool]:
    """Return status, body and whether that was all; status 0 when there was no answer."""
    status = 0
    parts: list[bytes] = []

    def keep(chunk: bytes) -> bool:
        parts.append(chunk)
        return True

    try:
        async with asyncio.timeout(patience_s):
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
                is_whole = await answer.async_relay_body(keep)
            except BaseException:
                answer.abort()
                raise
    except (HttpError, TimeoutError):
        return status, b"".join(parts), False
    return status, b"".join(parts), is_whole


def _headers(sent: Sent) -> Headers:
    """Return the fields of a caller's request; sessions come again."""
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
