"""A lost replica with acknowledged commits is forgotten when a successor is chosen."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standin3.instances import manifest  # noqa: E402
from review.standin3.lab import ZONES, Lab, judge_lost, run_case, trouble, writer  # noqa: E402

SERVICE, DATABASE = "lager7", "db-booking"
# Of the services of the site.
MAX_CONNECTIONS, OPENING_S = 30, 0.027
MACHINES = 7
# The machines read the entries of servers at this interval; an entry lapses after 3.6 s of silence.
READ_INTERVAL_S = 5.0
LAPSE_S = 3.6
DEAF_BEFORE_S = 1.0
DEAF_S = 6.0
CRASH_AFTER_S = 4.5
DOWN_S = 7.0


async def before_next_read(lab: Lab, lead_s: float) -> None:
    """Waits until the machines will read the entries of the instances in `lead_s`."""
    last = min(lab.platform.last_read("servers").values())
    wait_s = last + READ_INTERVAL_S - lead_s - time.monotonic()
    await asyncio.sleep(wait_s if wait_s > 0 else wait_s + READ_INTERVAL_S)


async def case(lab: Lab) -> bool:
    """Loses a replica for good while another hears nothing; then the primary crashes."""
    service = lab.service(SERVICE, sync=1, max_connections=MAX_CONNECTIONS, opening_s=OPENING_S)
    primary = await service.add("i-one", ZONES[0], primary=True)
    lagging = await service.add("i-two", ZONES[1])
    lost = await service.add("i-three", ZONES[2])
    routes = {DATABASE: {"service": SERVICE, "kind": "primary"}}
    lab.platform.store.put("op", "config", manifest(1, routes, {SERVICE: 1}, MAX_CONNECTIONS))
    machines = await lab.start_machines(MACHINES)
    outcomes: dict[str, str] = {}
    ended = asyncio.Event()
    writers = [
        asyncio.create_task(
            writer(lab, machine, DATABASE, f"w{index}-", 0.1, ended.is_set, outcomes)
        )
        for index, machine in enumerate(machines)
    ]
    await asyncio.sleep(6.0)
    # The entry lapses shortly before a read.
    await before_next_read(lab, DEAF_BEFORE_S + LAPSE_S + 0.4)
    deaf_at = time.monotonic()
    if trouble():
        lagging.deaf = True
        lab.note("trouble: i-two receives nothing for a while")
    await asyncio.sleep(DEAF_BEFORE_S)
    if trouble():
        await lost.crash()
        lab.note(f"trouble: i-three is lost for good, with {lost.position}")
    await asyncio.sleep(CRASH_AFTER_S)
    crashed_at = time.monotonic()
    if trouble():
        lab.note(f"trouble: the primary crashes at {primary.position}")
        await primary.crash()
    await asyncio.sleep(deaf_at + DEAF_S - time.monotonic())
    if trouble():
        lagging.deaf = False
        service.ship(lagging)
        lab.note("i-two receives again")
    await asyncio.sleep(crashed_at + DOWN_S - time.monotonic())
    if trouble():
        await primary.start()
        service.ship(primary)
        lab.note("the crashed instance is back")
    await asyncio.sleep(3.0)
    ended.set()
    await asyncio.gather(*writers)
    for line in [*lab.logged("promotion-decided"), *lab.logged("target-removed")]:
        lab.note(f"log of {line}")
    return judge_lost(lab, SERVICE, outcomes)


if __name__ == "__main__":
    run_case(case)
