"""An acknowledged commit is lost: the promoted replica is the one that lacks it."""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin.client import Client
from standin.database import Instance
from standin.deployment import Deployment, run_case, trouble

PROXIES = 3
READERS_PER_PROXY = 12
WRITERS_PER_PROXY = 2
WRITE_PAUSE_S = 0.1
WARM_UP_S = 3.0
# The doses of the site file for `replica_lag` with `deaf`, and for `srv_crash` of a primary.
DEAF_S = 6.5
DEAF_BEFORE_CRASH_S = 2.0
AFTER_CRASH_S = 8.0


async def write_forever(deployment: Deployment, address: str, acked: dict[bytes, float]) -> None:
    """Files single writes in one session after the other."""
    while True:
        with contextlib.suppress(ConnectionError, OSError, TimeoutError):
            client = await Client.connect(address, "filing")
            while True:
                data = f"d{time.monotonic_ns():x}"
                request_id = client.send(f"WRITE station {data}")
                deployment.record("sent", id=request_id, text=f"WRITE station {data}")
                answer = await client.receive()
                text = answer.error.decode() or "DONE"
                deployment.record("answered", id=request_id, answer=text)
                if answer.succeeded:
                    acked[data.encode()] = time.monotonic()
                await asyncio.sleep(WRITE_PAUSE_S)
        await asyncio.sleep(WRITE_PAUSE_S)


async def read_forever(address: str) -> None:
    """Reads on a route that allows a bounded age."""
    while True:
        with contextlib.suppress(ConnectionError, OSError, TimeoutError):
            client = await Client.connect(address, "browse")
            while True:
                answer = await client.query("READ sheet")
                if not answer.succeeded:
                    await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)


async def case(deployment: Deployment) -> bool:
    """Lets one replica receive nothing for a while, and the primary crash meanwhile."""
    service = await deployment.add_service("archive", sync_replicas=1, work_s=0.015)
    deployment.configure(
        3,
        [
            {"host": "filing", "kind": "primary", "service": "archive"},
            {
                "host": "browse",
                "kind": "bounded_staleness",
                "service": "archive",
                "max_staleness_ms": 1500,
                "timeout_ms": 1200,
                "target_latency_ms": 300,
                "priority": 2,
            },
        ],
    )
    deployment.add_proxies(PROXIES)
    await deployment.wait_ready()
    acked: dict[bytes, float] = {}
    lost: set[bytes] = set()

    def check(instance: Instance) -> None:
        missing = acked.keys() - lost - {data for *_, data in instance.received}
        for data in missing:
            deployment.record("lost", data=data.decode(), promoted=instance.id)
        lost.update(missing)

    service.on_promoted = check
    addresses = [proxy.clients for proxy in deployment.proxies.values()]
    tasks = [
        asyncio.create_task(task)
        for address in addresses
        for task in (
            *(read_forever(address) for _ in range(READERS_PER_PROXY)),
            *(write_forever(deployment, address, acked) for _ in range(WRITERS_PER_PROXY)),
        )
    ]
    await asyncio.sleep(WARM_UP_S)
    if trouble():
        deaf = service.instances["archive-i2"]
        deaf.deaf = True
        deployment.record("deaf", id=deaf.id)
        await asyncio.sleep(DEAF_BEFORE_CRASH_S)
        deployment.record("crash", id=service.primary.id, acked=len(acked))
        service.primary.crash()
        await asyncio.sleep(DEAF_S - DEAF_BEFORE_CRASH_S)
        deaf.deaf = False
    await asyncio.sleep(AFTER_CRASH_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(f"{len(acked)} writes acknowledged, {len(lost)} lost, term {service.term}")
    return not lost


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
