"""A VM that starts while cut off from its peers takes the whole allowance: see claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit2"))

from standins import (
    CONTROL_PORT,
    Client,
    Runner,
    Site,
    Switch,
    Vm,
    configuration,
    run_case,
    vm_settings,
)
from streams import StreamWork, load, most_in_a_second, stream_configuration

VMS = 3
RUNNERS = 2
COLD_S, COLD_PER_S = 3.0, 18.0
ALLOWED = COLD_PER_S * 1.5 + 5
"""The rule: `cold_per_s` x `cold_overage` + `cold_slack`."""
LOAD_PER_S = 130.0
DOWN_S = 2.0
CUT_S = 12.0


async def main(site: Site, has_trouble: bool) -> bool:
    routes, services = stream_configuration(COLD_S, COLD_PER_S, slots=96)
    site.store.put("op/config", configuration(1, routes, services))
    work = StreamWork(events=9, gap_s=0.03)
    for number in range(RUNNERS):
        runner = Runner(
            f"i-{number}", "pool", site.store, site.record, work.behave, slots=96, cold_s=COLD_S
        )
        site.runners.append(runner)
        await runner.start()
    switch = Switch()
    hosts = [f"127.0.0.{10 + number}" for number in range(1, VMS + 1)]
    seeds = [f"{await switch.add(host, site.peer_port)}:{CONTROL_PORT}" for host in hosts]
    for number, host in enumerate(hosts, start=1):
        settings = vm_settings(number, host, site.store.address, site.peer_port, seeds)
        site.vms.append(Vm(number, site.folder, settings))
        site.vms[-1].start()
    for vm in site.vms:
        await vm.until_ready()
    await asyncio.sleep(3.5)
    restarted = site.vms[-1]
    if has_trouble:
        for host in hosts[:-1]:
            switch.cut(host, restarted.host)
        site.record.write(f"VM {VMS} is cut off from the other VMs")
        restarted.kill()
        restarted.settings["bootstrap"] = False
        restarted.start()
        site.record.write(f"VM {VMS} is killed and starts again")
        await restarted.until_ready()
    await asyncio.sleep(1.5)
    client, tasks = Client(site.record), []
    loading = asyncio.ensure_future(load(client, site.vms, LOAD_PER_S, CUT_S - 3.0, tasks))
    await asyncio.sleep(1.0)
    crashed = site.runners[0]
    await crashed.crash()
    await asyncio.sleep(DOWN_S)
    await crashed.start(is_cold=True)
    await loading
    await asyncio.gather(*tasks)
    switch.close()
    cold = [call.at for call in crashed.calls if call.is_cold]
    most = most_in_a_second(cold)
    text = f"most requests at the cold runner in a second: {most}, allowed {ALLOWED:.0f}"
    site.record.write(text)
    print(text)
    return most > ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
