"""Requests that a stopping proxy has taken and passed on are never answered."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin.client import Client
from standin.deployment import GRACE_S, Deployment, Proxy, eventually, run_case, trouble

PROXIES = 3
SESSIONS = 36
PAUSE_S = 0.03
RECONNECT_S = 0.01
ROUNDS = 3
# The pause between two machines of a rolling restart in the site file.
ROLL_GAP_S = 1.0
PROBE_INTERVAL_S = 1.0
RESTART_S = 0.5


class Ingress:
    """Forwards new connections of one zone to its nodes in rotation, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        self._proxies = list(deployment.proxies.values())
        self._misses = dict.fromkeys(deployment.proxies, 0)
        self._next = 0

    async def probe(self) -> None:
        """Asks each node once a second whether it is ready."""
        while True:
            answers = await asyncio.gather(*(proxy.ready() for proxy in self._proxies))
            for proxy, ready in zip(self._proxies, answers, strict=True):
                self._misses[proxy.name] = 0 if ready else self._misses[proxy.name] + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def select(self) -> Proxy:
        """Returns the node for a new connection."""
        rotation = [proxy for proxy in self._proxies if self._misses[proxy.name] < 2]
        if 2 * len(rotation) < len(self._proxies):
            rotation = self._proxies
        self._next += 1
        return rotation[self._next % len(rotation)]


class Traffic:
    """Sessions that write and read, and the requests that ended without an answer."""

    def __init__(self, deployment: Deployment, ingress: Ingress) -> None:
        self._deployment = deployment
        self._ingress = ingress
        self.answered = 0
        # Id of the request, its proxy and the time at which it was sent.
        self.unanswered: list[tuple[str, str, float]] = []

    async def run(self, number: int) -> None:
        """Runs operations in one session, and opens it again after a close."""
        while True:
            proxy = self._ingress.select()
            with contextlib.suppress(OSError, TimeoutError):
                client = await Client.connect(proxy.clients, "filing" if number % 3 else "browse")
                while True:
                    await self._operate(client, proxy, number)
                    await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(RECONNECT_S)

    async def _operate(self, client: Client, proxy: Proxy, number: int) -> None:
        text = f"WRITE item{number} v{self.answered}" if number % 3 else "READ item"
        sent_at = time.monotonic()
        request_id = client.send(text)
        self._deployment.record("sent", id=request_id, vm=proxy.name, text=text)
        try:
            answer = await client.receive()
        except OSError:
            self._deployment.record("unanswered", id=request_id, vm=proxy.name)
            self.unanswered.append((request_id, proxy.name, sent_at))
            raise
        result = answer.error.decode() or "DONE"
        self._deployment.record("answered", id=request_id, answer=result)
        self.answered += 1


async def stop(deployment: Deployment, proxy: Proxy, stopped_at: dict[str, list[float]]) -> None:
    """Stops a node with SIGTERM, then SIGKILL after the grace period, and starts it again."""
    deployment.record("sigterm", vm=proxy.name)
    started = time.monotonic()
    stopped_at.setdefault(proxy.name, []).append(started)
    proxy.process.send_signal(signal.SIGTERM)
    while proxy.process.poll() is None and time.monotonic() - started < GRACE_S:
        await asyncio.sleep(0.01)
    status = proxy.process.poll()
    took_s = round(time.monotonic() - started, 2)
    deployment.record("ended", vm=proxy.name, status=status, after_s=took_s)
    proxy.kill()
    await asyncio.sleep(RESTART_S)
    proxy.start()


async def case(deployment: Deployment) -> bool:
    """Restarts all nodes of a zone, one after the other."""
    service = await deployment.add_service("archive", work_s=0.015)
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
    deployment.add_proxies(PROXIES, zone="zone0")
    await deployment.wait_ready()
    ingress = Ingress(deployment)
    traffic = Traffic(deployment, ingress)
    tasks = [asyncio.create_task(ingress.probe())]
    tasks += [asyncio.create_task(traffic.run(number)) for number in range(SESSIONS)]
    await asyncio.sleep(2)
    stopped_at: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        if trouble():
            stops = []
            for proxy in deployment.proxies.values():
                stops.append(asyncio.create_task(stop(deployment, proxy, stopped_at)))
                await asyncio.sleep(ROLL_GAP_S)
            await asyncio.gather(*stops)
        for proxy in deployment.proxies.values():
            await eventually(proxy.ready, f"{proxy.name} is ready")
        await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    lost = 0
    for request_id, name, sent_at in traffic.unanswered:
        after_s = min((sent_at - at for at in stopped_at.get(name, ()) if sent_at >= at), default=0)
        # A request of the first 3 s may still be at work when the grace period ends.
        if request_id in service.run_ids and 3 < after_s < GRACE_S + 1:
            lost += 1
            deployment.record("lost", id=request_id, vm=name, sent_after_s=round(after_s, 3))
    print(
        f"{traffic.answered} requests answered, {len(traffic.unanswered)} not, of which {lost} "
        "had been passed on to an instance more than 3 s after SIGTERM"
    )
    return not lost


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).resolve().parent, case)
