"""A replica that the store lists is left out when a successor is chosen."""

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
# The entry of a lost instance lapses after 3.6 s, and is dropped by the machines up to 10 s later.
FORGOTTEN_S = 14.0
DEAF_S = 6.0
CRASH_AFTER_S = 2.5
DOWN_S = 7.0
# The primary is replaced this long after the new instance has started, and drains for 7 s.
DRAIN_AFTER_S = 4.0
DRAIN_S = 7.0


async def after_next_read(lab: Lab) -> None:
    """Waits until all machines have just read the entries of the instances."""
    since = time.monotonic()
    while any(lab.platform.last_read("servers").get(m, 0.0) < since for m in lab.machines):
        await asyncio.sleep(0.02)
    # The last of these calls is answered by then.
    await asyncio.sleep(0.2)


async def case(lab: Lab) -> bool:
    """Replaces the primary as planned; it crashes while the listed replica hears nothing."""
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

    await asyncio.sleep(2.0)
    if trouble():
        lab.note("trouble: i-three is lost for good")
        await lost.crash()
    await asyncio.sleep(FORGOTTEN_S)
    await after_next_read(lab)
    new = await service.add("i-four", ZONES[2])
    lab.note("planned: the primary is replaced; the new instance i-four starts first")
    await asyncio.sleep(0.2)
    if trouble():
        lab.note(f"i-four has {new.position}, the primary {primary.position}")
        lagging.deaf = True
        lab.note("trouble: i-two receives nothing for a while")
        await asyncio.sleep(CRASH_AFTER_S)
        lab.note(f"trouble: the primary crashes at {primary.position}, i-four has {new.position}")
        await primary.crash()
        await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
        lagging.deaf = False
        service.ship(lagging)
        await asyncio.sleep(DOWN_S - (DEAF_S - CRASH_AFTER_S))
        await primary.start()
        service.ship(primary)
        lab.note("the crashed instance is back")
    else:
        await asyncio.sleep(DRAIN_AFTER_S)
        lab.note("planned: the primary reports draining")
        primary.state = "draining"
        primary.register()
        await asyncio.sleep(DRAIN_S + 1.0)
        await primary.leave()
        lab.note("the replaced instance has left")
    await asyncio.sleep(1.0)
    ended.set()
    await asyncio.gather(*writers)

    known = [m for m in lab.logged("target-added") if "target=i-four" in m]
    lab.note(f"machines that have read the entry of i-four by the end: {len(known)}")
    for at, machine, target in lab.platform.calls:
        if "table=servers" in target:
            lab.note_at(at, f"platform: {machine} reads the entries of the instances")
    for line in lab.logged("promotion-decided"):
        lab.note(f"log of {line}")
    return judge_lost(lab, SERVICE, outcomes)


if __name__ == "__main__":
    run_case(case)
