"""A session does not see its own commit after its route went to another service and back."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin.client import Answer, Client
from standin.database import Instance
from standin.deployment import Deployment, run_case, trouble

PROXIES = 3
SESSIONS_PER_PROXY = 8
ROUNDS = 12
# The pause between two manifests of a storm in the site file.
MANIFEST_GAP_S = 0.21
ROUND_PAUSE_S = 2.5
# Replicas 20 ms behind, 65 times as late in the site file.
USUAL_LAG_S = 0.02
LAG_S = 1.3
FILLED_COMMITS = 200


class Storm:
    """Manifests in quick succession, which move a route to another service and back."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._version = 2

    def move(self, service: str) -> None:
        """Sends the next manifest."""
        self._version += 3
        own = {"host": "own", "kind": "read_own", "service": service, "max_staleness_ms": 2500}
        feed = {"kind": "primary", "timeout_ms": 800}
        self._deployment.configure(
            self._version,
            [
                own,
                {**feed, "host": "feed-north", "service": "north"},
                {**feed, "host": "feed-south", "service": "south"},
            ],
        )


class Session:
    """One session; it writes and reads an item of its own."""

    def __init__(self, deployment: Deployment, client: Client, item: str) -> None:
        self._deployment = deployment
        self._client = client
        self._item = item
        self._count = 0
        self.stale = 0
        self.reads = 0

    async def _query(self, text: str) -> Answer:
        request_id = self._client.send(text)
        self._deployment.record("sent", id=request_id, text=text)
        answer = await self._client.receive()
        row = b"".join(answer.rows).decode()
        result = answer.error.decode() or f"DONE {answer.receipt.decode()}"
        self._deployment.record(
            "answered", id=request_id, answer=result, row=row, position=answer.position.decode()
        )
        return answer

    async def write(self) -> bool:
        """Writes the item; returns whether that was acknowledged."""
        self._count += 1
        answer = await self._query(f"WRITE {self._item} {self._item}v{self._count}")
        return answer.succeeded

    async def read(self, expected: int) -> None:
        """Reads the item, and checks that the commit that was acknowledged is seen."""
        answer = await self._query(f"READ {self._item}")
        if not answer.succeeded:
            return
        self.reads += 1
        seen = b"".join(answer.rows).decode()
        if seen != f"{self._item}v{expected}":
            self.stale += 1
            self._deployment.record("stale", seen=seen or "-", acked=f"{self._item}v{expected}")

    async def run_round(self, storm_step: asyncio.Event, back: asyncio.Event) -> None:
        """Commits at the first service, then at the second, and reads at the first again."""
        acked = await self.write()
        expected = self._count
        await storm_step.wait()
        await asyncio.sleep(MANIFEST_GAP_S / 2)
        acked = await self.write() and acked
        await back.wait()
        await asyncio.sleep(MANIFEST_GAP_S / 2)
        if acked:
            await self.read(expected)


async def keep_fresh(deployment: Deployment, address: str, database: str) -> None:
    """Reads at the primary, as other clients of the service do."""
    client = await Client.connect(address, database)
    while True:
        await client.query("READ other")
        await asyncio.sleep(0.05)


def set_lag(deployment: Deployment, lag_s: float) -> None:
    """Sets how late all replicas apply what they have received."""

    def change(instance: Instance) -> None:
        instance.apply_lag_s = lag_s
        deployment.record("lag", id=instance.id, lag_s=lag_s)

    for instance in deployment.services["north"].instances.values():
        change(instance)


async def case(deployment: Deployment) -> bool:
    """Moves a route to another service and back while replicas are behind."""
    await deployment.add_service("north", apply_lag_s=USUAL_LAG_S)
    await deployment.add_service("south", apply_lag_s=USUAL_LAG_S)
    storm = Storm(deployment)
    storm.move("north")
    deployment.add_proxies(PROXIES)
    await deployment.wait_ready()
    addresses = [proxy.clients for proxy in deployment.proxies.values()]
    tasks = [
        asyncio.create_task(keep_fresh(deployment, address, database))
        for address in addresses
        for database in ("feed-north", "feed-south")
    ]
    feeder = await Client.connect(addresses[0], "feed-north")
    for number in range(FILLED_COMMITS):
        await feeder.query(f"WRITE filler f{number}")
    sessions = [
        Session(deployment, await Client.connect(address, "own"), f"i{index}x{number}")
        for index, address in enumerate(addresses)
        for number in range(SESSIONS_PER_PROXY)
    ]
    for _ in range(ROUNDS):
        if trouble():
            set_lag(deployment, LAG_S)
        moved, back = asyncio.Event(), asyncio.Event()
        rounds = [asyncio.create_task(s.run_round(moved, back)) for s in sessions]
        await asyncio.sleep(MANIFEST_GAP_S)
        storm.move("south")
        moved.set()
        await asyncio.sleep(MANIFEST_GAP_S)
        storm.move("north")
        back.set()
        await asyncio.gather(*rounds)
        set_lag(deployment, USUAL_LAG_S)
        await asyncio.sleep(ROUND_PAUSE_S)
    for task in tasks:
        task.cancel()
    stale, reads = sum(s.stale for s in sessions), sum(s.reads for s in sessions)
    print(f"{reads} reads of a session's own commit, {stale} without it")
    return not stale


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
