"""A VM that started with stale seeds never joins the fleet, and loses its streams: see claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit2"))

from standins import (
    CONTROL_PORT,
    Client,
    ResetProxy,
    Runner,
    Site,
    Vm,
    configuration,
    run_case,
    vm_settings,
)
from streams import Stream, StreamWork, stream_configuration, take

SEEDS = 3
FIRST_VMS = 5
SEED_LAG_S = 3.0
CALM_S = 8.0
STREAMS = 20


async def add_vm(site: Site, seeds: list[str]) -> Vm:
    """Start one more VM with the seeds that its settings file has now."""
    number = len(site.vms) + 1
    settings = vm_settings(
        number, f"127.0.0.{10 + number}", site.store.address, site.peer_port, seeds, bootstrap=False
    )
    vm = Vm(number, site.folder, settings)
    site.vms.append(vm)
    vm.start()
    site.record.write(f"VM {number} is added, its seeds are {seeds}")
    return vm


def write_seeds(site: Site, vms: list[Vm], seeds: list[str]) -> None:
    """Write new seeds to the settings files and say so with SIGHUP."""
    for vm in vms:
        vm.settings["seeds"] = seeds
        vm.write_settings()
        vm.signal(signal.SIGHUP)
    site.record.write(f"the settings files name the seeds {seeds}; SIGHUP")


async def main(site: Site, has_trouble: bool) -> bool:
    routes, services = stream_configuration(cold_s=3.0, cold_per_s=18.0, slots=96)
    site.store.put("op/config", configuration(1, routes, services))
    work = StreamWork(events=30, gap_s=0.1)
    for number, version in enumerate(("v1", "v1", "v2", "v2")):
        runner = Runner(
            f"i-{number}", "pool", site.store, site.record, work.behave, slots=96, version=version
        )
        site.runners.append(runner)
        await runner.start()
    await site.start_vms(FIRST_VMS)
    stale = [f"{vm.host}:{CONTROL_PORT}" for vm in site.vms[:SEEDS]]
    if has_trouble:
        for vm in site.vms[:SEEDS]:
            vm.kill()
        site.record.write(f"VMs 1 to {SEEDS} are killed and do not come back")
    await asyncio.sleep(1.0)
    added = await add_vm(site, stale)
    await added.until_ready()
    await asyncio.sleep(SEED_LAG_S - 1.0)
    running = site.vms[SEEDS:]
    write_seeds(site, running, [f"{vm.host}:{CONTROL_PORT}" for vm in running])
    await asyncio.sleep(CALM_S)

    client, streams = Client(site.record), [Stream() for _ in range(STREAMS)]
    proxy = ResetProxy(running[0].front)
    await proxy.start()
    begun = []
    for stream in streams:
        begun.append(asyncio.ensure_future(take(client, stream, proxy.address)))
        begun.append(asyncio.ensure_future(take(client, Stream(), running[0].front)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.7)
    proxy.reset_all()
    site.record.write("half of the clients' connections to this VM are reset")
    await asyncio.gather(*begun)
    broken = [stream for stream in streams if stream.last_id and not stream.replies[-1].is_complete]
    taken_up = await asyncio.gather(
        *(
            take(client, stream, added.front, first_id=stream.replies[0].attempt_id)
            for stream in broken
        )
    )
    new = await asyncio.gather(*(take(client, Stream(), added.front) for _ in range(STREAMS)))
    went_on = sum(reply.status == 200 and reply.is_complete for reply in taken_up)
    began = sum(reply.status == 200 for reply in new)
    share, new_share = went_on / max(1, len(taken_up)), began / len(new)
    text = (
        f"of {len(taken_up)} streams taken up at VM {added.number}, {went_on} go on "
        f"({sorted({reply.status for reply in taken_up})}); of {len(new)} new ones {began} begin"
    )
    site.record.write(text)
    print(text)
    return len(taken_up) >= 12 and share < new_share / 2


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
