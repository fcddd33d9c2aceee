"""Restarts three VMs by plan, one after the other, before runners whose ids are long.

Exits with 1 if a VM that got SIGTERM cut a request that it had passed on, before the last sixth of its
grace, with 0 if none did, and with 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import os
from pathlib import Path
import random
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.standins import (  # noqa: E402
    Connection,
    HttpMessage,
    Record,
    Runner,
    Sent,
    Store,
    Vm,
    async_resolve,
    async_send,
    async_wait_ready,
    has_trouble,
    new_folder,
    new_vms,
    plain_answer,
    remove_folder,
    route,
    small_configuration,
    stream_answer,
)

ZONES = ["riga-a", "riga-b", "jelgava-c"]
ID_CHARACTERS = int(os.environ.get("ID_CHARACTERS", "140"))
"""Length of a runner's id; with `servers/` before it, a key may have 200 bytes."""
ENGINES = 9
DESKS = 3
EVENTS = 49
REVIEW_EVENTS = 9
EVENT_GAP_S = 0.06
DEADLINE_MS = 12_000
CHATS_PER_S = 39.0
REVIEWS_PER_S = 27.0
BOOKINGS_PER_S = 16.5
"""Rates of the sheet's `pendant-query`, `program-review` and `visit-booking`."""
REVIEW_DEADLINE_MS = 4_000
LEAD_S = 4.0
GAP_S = 6.0
"""Pause between two SIGTERMs; streams last 3 s, so that one VM at a time is away."""
ROUNDS = 2
GRACE_S = 8.0
LAST_SIXTH_S = GRACE_S * 5 / 6
LATE_S = 3.0


def runner_id(service: str, number: int) -> str:
    """Return an id made up of what schedulers put into names, cut to its length."""
    text = f"{number:02}-{service}-moe235b-h100x8-trtllm-fp8-commissioning-lv-central-deployment-"
    return (text + "7f9c6d5b8a4e2c1f0b9d8e7a6c5f4e3d" * 5)[:ID_CHARACTERS]


class Clients:
    """Ask a directory each second, and open each request on a new connection."""

    def __init__(self, vms: list[Vm], record: Record) -> None:
        self._vms = vms
        self._record = record
        self._random = random.Random(1)
        self._addresses: dict[str, list[str]] = {}
        self._running: set[asyncio.Task[None]] = set()
        self.sent: list[Sent] = []

    async def async_resolve_each(self) -> None:
        """Keep the addresses that the nearest directory names to the clients of each zone."""
        while True:
            for zone in ZONES:
                addresses = await async_resolve(self._vms, zone)
                if addresses:
                    self._addresses[zone] = addresses
            await asyncio.sleep(1.0)

    async def async_run(
        self, path: str, per_s: float, deadline_ms: int, tokens: tuple[int, ...] = ()
    ) -> None:
        """Send requests at a rate until cancelled."""
        while True:
            task = asyncio.ensure_future(self._async_request(path, deadline_ms, tokens))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(1 / per_s)

    def _prompt_fields(self, tokens: tuple[int, ...]) -> tuple[str, ...]:
        """Return the fields of a prompt: a part of four, one of a session, its own, and output."""
        if not tokens:
            return ()
        shared, session, own, output = tokens
        ids = [self._random.randrange(count) for count in (4, 600, 1 << 30)]
        parts = zip(("a", "b", "c"), ids, (shared, session, own), strict=True)
        return (
            "X-Model: m",
            f"X-Token-Count: {shared + session + own},{output}",
            "X-Prompt-Prefix: " + ",".join(f"{kind}{number:x}:{n}" for kind, number, n in parts),
        )

    async def _async_request(self, path: str, deadline_ms: int, tokens: tuple[int, ...]) -> None:
        addresses = self._addresses.get(self._random.choice(ZONES), [])
        for address in self._random.sample(addresses, len(addresses)):
            vm = next(vm for vm in self._vms if vm.front == address)
            try:
                connection = await Connection.async_open(address)
            except OSError:
                continue
            sent = await async_send(
                connection,
                self._record,
                vm.name,
                path,
                deadline_ms=deadline_ms,
                fields=self._prompt_fields(tokens),
            )
            connection.close()
            self.sent.append(sent)
            return

    async def async_end(self) -> None:
        """Wait for the answers to all requests."""
        if self._running:
            await asyncio.wait(tuple(self._running))


async def async_main() -> int:
    """Run the case and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    folder = new_folder()
    store = Store()
    await store.async_start()
    chat, review = stream_answer(EVENTS, EVENT_GAP_S), stream_answer(REVIEW_EVENTS, EVENT_GAP_S)

    async def answer(runner: Runner, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        is_review = request.first.split()[1].startswith("/review/")
        await (review if is_review else chat)(runner, request, writer)

    runners = [
        Runner(runner_id("engines", number), "engines", record, answer)
        for number in range(ENGINES)
    ]
    runners += [
        Runner(runner_id("desk", number), "desk", record, plain_answer()) for number in range(DESKS)
    ]
    for number, runner in enumerate(runners):
        await runner.async_start()
        slots = 96 if runner.service == "engines" else 6
        store.put(f"servers/{runner.runner_id}", runner.entry(ZONES[number % 3], slots))
    configuration = small_configuration()
    configuration["routes"].append(
        route(
            "review",
            "streaming",
            "engines",
            timeout_ms=4_000,
            target_latency_ms=400,
            gap_aim_ms=300,
            stream_resume=True,
            session_affinity=True,
            max_attempts=2,
        )
    )
    store.put("op/config", configuration)
    vms = new_vms(record, folder, store, ZONES)
    tasks: list[asyncio.Task[None]] = []
    stops: list[tuple[str, float]] = []
    try:
        for vm in vms:
            await vm.async_start()
        try:
            await async_wait_ready(vms)
        except TimeoutError:
            record.write("the VMs did not become ready")
            return 2
        await asyncio.sleep(1.5)
        clients = Clients(vms, record)
        tasks.append(asyncio.ensure_future(clients.async_resolve_each()))
        await asyncio.sleep(0.5)
        traffic = [
            asyncio.ensure_future(
                clients.async_run("/chat/1", CHATS_PER_S, DEADLINE_MS, (119, 79, 628, 300))
            ),
            asyncio.ensure_future(
                clients.async_run(
                    "/review/1", REVIEWS_PER_S, REVIEW_DEADLINE_MS, (2520, 3780, 2890, 54)
                )
            ),
            asyncio.ensure_future(clients.async_run("/book/1", BOOKINGS_PER_S, 1_500)),
        ]
        tasks += traffic
        await asyncio.sleep(LEAD_S)
        for vm in vms * ROUNDS:
            if has_trouble():
                stops.append((vm.name, record.now_s()))
                vm.send(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
        for task in traffic:
            task.cancel()
        await clients.async_end()
        for vm in vms:
            record.write(f"{vm.name} was started {vm.starts} times and ended with {vm.exits}")
        return _judge(record, clients.sent, runners, stops)
    finally:
        for task in tasks:
            task.cancel()
        for vm in vms:
            await vm.async_stop()
        for runner in runners:
            runner.stop()
        store.stop()
        if "KEEP" in os.environ:
            record.write(f"the logs are in {folder.name}")
        else:
            remove_folder(folder)


def _judge(
    record: Record, sent: list[Sent], runners: list[Runner], stops: list[tuple[str, float]]
) -> int:
    """Return 1 if the rule was broken, 0 if it held, and 2 if nothing was served."""
    run_ids = {attempt_id for runner in runners for attempt_id in runner.runs}
    whole = sum(item.is_complete and item.status == 200 for item in sent)
    cut = [item for item in sent if item.how.startswith("the connection ended")]
    lost = []
    for item in cut:
        for name, stop_s in stops:
            is_around = stop_s <= item.ended_s <= stop_s + GRACE_S + 1.0
            if item.vm != name or not is_around or item.attempt_id not in run_ids:
                continue
            if item.sent_s <= stop_s + LATE_S and item.ended_s > stop_s + LAST_SIXTH_S:
                continue
            lost.append(item)
            record.write(
                f"LOST: {item.attempt_id} {item.path} was passed on by {name} and cut"
                f" {item.ended_s - stop_s:.3f} s after its SIGTERM"
            )
    statuses = Counter((item.path, item.status) for item in sent)
    record.write(", ".join(f"{path} {status}: {n}" for (path, status), n in statuses.items()))
    record.write(
        f"{len(sent)} requests, {whole} answered whole, {len(cut)} ended with their connection,"
        f" {len(lost)} of them broke the rule"
    )
    if not whole:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
