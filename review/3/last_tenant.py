"""Takes the last tenant and its key out of the configuration while its clients are connected.

Exits with 1 if a request ran later than `config_apply_ms` after that with the key that was taken
away, or at any time with a key that no configuration held; with 0 if none did, and with 2 if the case
could not run.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.standins import (  # noqa: E402
    KEY,
    Connection,
    HttpMessage,
    Record,
    Runner,
    Sent,
    Store,
    async_send,
    async_wait_ready,
    has_trouble,
    new_folder,
    new_vms,
    plain_answer,
    remove_folder,
    small_configuration,
    stream_answer,
)

ZONES = ["riga-a", "riga-b"]
UNKNOWN_KEY = "never-in-any-configuration"
APPLY_S = 2.0
"""`config_apply_ms`."""
CALM_S = 4.0
"""Longer than `contact_ms`, so that all machines are in touch."""
PAUSE_S = 0.1
REQUESTS = 30


async def async_main() -> int:
    """Run the case and return the exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    folder = new_folder()
    store = Store()
    await store.async_start()
    tenants_of: dict[str, str | None] = {}
    plain = plain_answer()

    async def answer(runner: Runner, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.fields["x-attempt-id"]
        tenants_of[attempt_id] = request.fields.get("x-tenant")
        record.write(f"runner {runner.runner_id}: {attempt_id} has X-Tenant {tenants_of[attempt_id]}")
        await plain(runner, request, writer)

    runners = [
        Runner("i-1", "engines", record, stream_answer(9, 0.1)),
        Runner("i-2", "desk", record, answer),
        Runner("i-3", "desk", record, answer),
    ]
    for number, runner in enumerate(runners):
        await runner.async_start()
        store.put(f"servers/{runner.runner_id}", runner.entry(ZONES[number % 2], 6))
    store.put("op/config", small_configuration())
    vms = new_vms(record, folder, store, ZONES)
    sent: list[tuple[Sent, str]] = []
    try:
        for vm in vms:
            await vm.async_start()
        try:
            await async_wait_ready(vms)
        except TimeoutError:
            record.write("the VMs did not become ready")
            return 2
        await asyncio.sleep(CALM_S)
        connections: dict[tuple[str, str], Connection] = {}

        async def async_requests() -> None:
            for _ in range(REQUESTS):
                for vm in vms:
                    for key in (KEY, UNKNOWN_KEY):
                        connection = connections.get((vm.name, key))
                        if connection is None or not connection.may_be_reused:
                            connection = await Connection.async_open(vm.front)
                            connections[vm.name, key] = connection
                        result = await async_send(
                            connection, record, vm.name, "/book/1", deadline_ms=1_500, key=key
                        )
                        sent.append((result, key))
                await asyncio.sleep(PAUSE_S)

        await async_requests()
        changed = small_configuration() | {"version": 4}
        if has_trouble():
            changed["tenants"] = []
        store.put("op/config", changed)
        changed_s = record.write(f"the store has version 4, tenants {changed['tenants']}")
        await async_requests()
        return _judge(record, sent, tenants_of, changed_s)
    finally:
        for vm in vms:
            await vm.async_stop()
        for runner in runners:
            runner.stop()
        store.stop()
        remove_folder(folder)


def _judge(
    record: Record,
    sent: list[tuple[Sent, str]],
    tenants_of: dict[str, str | None],
    changed_s: float,
) -> int:
    """Return 1 if a rule was broken, 0 if they held, and 2 if nothing was served before."""
    served = sum(item.status == 200 and item.sent_s < changed_s for item, _ in sent)
    dropped = [
        item
        for item, key in sent
        if has_trouble()
        and key == KEY
        and item.attempt_id in tenants_of
        and item.sent_s > changed_s + APPLY_S
    ]
    unknown = [item for item, key in sent if key == UNKNOWN_KEY and item.attempt_id in tenants_of]
    record.write(
        f"{served} served before the change; {len(dropped)} ran with the key that was taken away,"
        f" later than {APPLY_S} s after that; {len(unknown)} ran with a key that no configuration held"
    )
    if not served:
        return 2
    return 1 if dropped or unknown else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
