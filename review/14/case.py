"""An order to receive again is carried out late, after a later one was answered."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standin3.instances import Instance, manifest  # noqa: E402
from review.standin3.lab import ZONES, Lab, judge_lost, run_case, trouble, writer  # noqa: E402

SERVICE, DATABASE = "lager7", "db-filing"
MACHINES = 7
LATE_MIN_S, LATE_MAX_S = 2.0, 12.0
DEAF_S = 6.5


async def order(lab: Lab, name: str, word: str, since: float) -> float:
    """Waits until an instance has answered an order; returns when."""
    while True:
        for at, instance, given in lab.services[SERVICE].orders:
            if at >= since and (instance, given) == (name, word):
                return at
        await asyncio.sleep(0.01)


async def named_successor(lab: Lab, since: float) -> Instance:
    """Waits until a machine has ordered a promotion; returns the instance that it names."""
    while True:
        for at, _, service, name, _, status in lab.platform.promotions:
            if at >= since and status == 200:
                return lab.services[service].instances[name]
        await asyncio.sleep(0.01)


async def case(lab: Lab) -> bool:
    """Lets the order to receive again be late, then replaces the primary as planned."""
    service = lab.service(SERVICE, sync=1)
    primary = await service.add("i-one", ZONES[0], primary=True)
    await service.add("i-two", ZONES[1])
    resumed = await service.add("i-three", ZONES[2])
    routes = {DATABASE: {"service": SERVICE, "kind": "primary"}}
    lab.platform.store.put("op", "config", manifest(1, routes, {SERVICE: 1}))
    started = time.monotonic()
    late_since: list[float] = []
    outside: list[float] = []

    async def carry_out_late() -> None:
        late_since.append(time.monotonic())
        await order(lab, resumed.name, "PAUSE", late_since[0])
        await asyncio.sleep(0.3)
        elapsed = time.monotonic() - late_since[0]
        lab.note(f"trouble: i-three carries out RESUME {elapsed:.1f} s after it was sent")
        if not LATE_MIN_S <= elapsed <= LATE_MAX_S:
            outside.append(elapsed)

    if trouble():
        resumed.late_orders.append(("RESUME", carry_out_late))
    machines = await lab.start_machines(MACHINES)
    outcomes: dict[str, str] = {}
    ended = asyncio.Event()
    writers = [
        asyncio.create_task(
            writer(lab, machine, DATABASE, f"w{index}-", 0.25, ended.is_set, outcomes)
        )
        for index, machine in enumerate(machines)
    ]
    await order(lab, resumed.name, "RESUME", started)
    lab.note("i-three has answered an order to receive")
    lab.note("planned: the primary is replaced; the new instance i-four starts first")
    await service.add("i-four", ZONES[0])
    await asyncio.sleep(1.0)
    lab.note("planned: i-one reports draining")
    since = time.monotonic()
    primary.state = "draining"
    primary.register()
    successor = await named_successor(lab, since)
    await asyncio.sleep(0.1)
    if trouble():
        successor.deaf = True
        lab.note(f"trouble: {successor.name} receives nothing for a while")
    await asyncio.sleep(DEAF_S)
    successor.deaf = False
    service.ship(successor)
    await asyncio.sleep(2.0)
    ended.set()
    await asyncio.gather(*writers)
    if outside:
        raise RuntimeError(f"the order was carried out after {outside[0]:.1f} s")
    for line in [*lab.logged("replicas-resumed"), *lab.logged("promotion-decided")]:
        lab.note(f"log of {line}")
    return judge_lost(lab, SERVICE, outcomes)


if __name__ == "__main__":
    run_case(case)
