"""A runner that crashed and is back cold gets a warm load while the store is away: see claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit2"))

from standins import Client, Runner, Site, configuration, run_case
from streams import StreamWork, load, most_in_a_second, stream_configuration

VMS = 3
RUNNERS = 3
COLD_S, COLD_PER_S = 3.0, 18.0
ALLOWED = COLD_PER_S * 1.5 + 5
"""The rule: `cold_per_s` x `cold_overage` + `cold_slack`."""
LOAD_PER_S = 135.0
DOWN_S = 1.4
STORE_AWAY_AFTER_S = 1.0
STORE_AWAY_S = 4.5


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
    await site.start_vms(VMS)
    client, tasks = Client(site.record), []
    loading = asyncio.ensure_future(load(client, site.vms, LOAD_PER_S, 14.0, tasks))
    await asyncio.sleep(3.0)
    crashed = site.runners[0]
    await crashed.crash()
    await asyncio.sleep(STORE_AWAY_AFTER_S)
    if has_trouble:
        site.store.is_down = True
        site.record.write("the store is away")
    await asyncio.sleep(DOWN_S - STORE_AWAY_AFTER_S)
    await crashed.start(is_cold=True)
    await asyncio.sleep(STORE_AWAY_S - (DOWN_S - STORE_AWAY_AFTER_S))
    site.store.is_down = False
    site.record.write("the store is back")
    await loading
    await asyncio.gather(*tasks)
    cold = [call.at for call in crashed.calls if call.is_cold]
    most = most_in_a_second(cold)
    text = f"most requests at the cold runner in a second: {most}, allowed {ALLOWED:.0f}"
    site.record.write(text)
    print(text)
    return most > ALLOWED


if __name__ == "__main__":
    sys.exit(run_case(main, HERE))
