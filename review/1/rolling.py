"""Restarts three VMs one after the other, by plan, while clients open streams.

Exits with 1 if a VM cut a request that it took more than 3 s after its SIGTERM and had passed on
to a runner, with 0 if none did, and with 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
import random
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.standins import (  # noqa: E402
    Connection,
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
    remove_folder,
    small_configuration,
    stream_answer,
)

ZONES = ["riga-a", "riga-b", "jelgava-c"]
EVENTS = 49
"""Events of a `pendant-query` by the users' sheet."""
EVENT_GAP_S = 0.1
"""Half of the pause of 200 ms that the sheet allows."""
DEADLINE_MS = 12_000
CLIENTS = 6
PAUSE_S = 0.8
"""Pause of a client between two requests."""
LEAD_S = 1.5
GAP_S = 1.0
"""Pause between two SIGTERMs, as in the site file."""
LATE_S = 3.0
"""Requests sent later than this after the SIGTERM have to be answered whole."""
GRACE_S = 8.0
TRAFFIC_S = 16.0


class Client:
    """Keeps a directory's answer for its lifetime, or three times as long, as the pages allow.

    It keeps the answer longer if it gets no new one.
    """

    def __init__(self, number: int, vms: list[Vm], record: Record) -> None:
        self._vms = vms
        self._record = record
        self._zone = ZONES[number % len(ZONES)]
        self._life_s = 1.0 if number % 2 else 3.0
        self._addresses: list[str] = []
        self._resolved_s = -100.0
        self._random = random.Random(number)
        self.sent: list[Sent] = []

    async def _async_resolve(self) -> None:
        now_s = self._record.now_s()
        if now_s - self._resolved_s < self._life_s:
            return
        addresses = await async_resolve(self._vms, self._zone)
        if addresses:
            self._addresses, self._resolved_s = addresses, now_s

    async def async_run(self, ends_s: float) -> None:
        """Open a stream each second, each on a new connection."""
        running: set[asyncio.Task[None]] = set()
        await asyncio.sleep(self._random.uniform(0.0, PAUSE_S))
        while self._record.now_s() < ends_s:
            await self._async_resolve()
            task = asyncio.ensure_future(self._async_request())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(PAUSE_S)
        if running:
            await asyncio.wait(tuple(running))

    async def _async_request(self) -> None:
        """Send one request to a random address, excluding those that fail to connect."""
        for address in self._random.sample(self._addresses, len(self._addresses)):
            vm = next(vm for vm in self._vms if vm.front == address)
            try:
                connection = await Connection.async_open(address)
            except OSError:
                continue
            sent = await async_send(
                connection, self._record, vm.name, "/chat/1", deadline_ms=DEADLINE_MS
            )
            connection.close()
            self.sent.append(sent)
            return


async def async_main() -> int:
    """Run the case and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    folder = new_folder()
    store = Store()
    await store.async_start()
    answer = stream_answer(EVENTS, EVENT_GAP_S)
    runners = [Runner(f"i-{number}", "engines", record, answer) for number in range(3)]
    for runner, zone in zip(runners, ZONES, strict=True):
        await runner.async_start()
        store.put(f"servers/{runner.runner_id}", runner.entry(zone, 96))
    store.put("op/config", small_configuration())
    vms = new_vms(record, folder, store, ZONES)
    try:
        for vm in vms:
            await vm.async_start()
        try:
            await async_wait_ready(vms)
        except TimeoutError:
            record.write("the VMs did not become ready")
            return 2
        await asyncio.sleep(1.0)
        clients = [Client(number, vms, record) for number in range(CLIENTS)]
        began_s = record.now_s()
        traffic = asyncio.gather(*(item.async_run(began_s + TRAFFIC_S) for item in clients))
        await asyncio.sleep(LEAD_S)
        stopped_s: dict[str, float] = {}
        for vm in vms:
            if has_trouble():
                stopped_s[vm.name] = record.now_s()
                vm.send(signal.SIGTERM)
            await asyncio.sleep(GAP_S)
        await traffic
        return _judge(record, [sent for item in clients for sent in item.sent], runners, stopped_s)
    finally:
        for vm in vms:
            await vm.async_stop()
        for runner in runners:
            runner.stop()
        store.stop()
        remove_folder(folder)


def _judge(
    record: Record, sent: list[Sent], runners: list[Runner], stopped_s: dict[str, float]
) -> int:
    """Return 1 if the rule was broken, 0 if it held, and 2 if nothing was served."""
    run_ids = {attempt_id for runner in runners for attempt_id in runner.runs}
    whole = [item for item in sent if item.is_complete and item.status == 200]
    lost = []
    for item in sent:
        stop_s = stopped_s.get(item.vm)
        if stop_s is None or not stop_s + LATE_S < item.sent_s < stop_s + GRACE_S:
            continue
        is_cut = not item.is_complete and item.how != "deadline"
        if is_cut and item.attempt_id in run_ids:
            lost.append(item)
            record.write(
                f"LOST: {item.attempt_id} was sent {item.sent_s - stop_s:.3f} s after the SIGTERM"
                f" of {item.vm}, which passed it on and cut it {item.ended_s - stop_s:.3f} s after"
                f" the SIGTERM, {(item.ended_s - item.sent_s) * 1000:.0f} ms after it was sent"
                f" (deadline and timeout {DEADLINE_MS} ms)"
            )
    record.write(f"{len(sent)} requests, {len(whole)} answered whole, {len(lost)} broke the rule")
    if not whole:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
