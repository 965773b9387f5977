"""Speed of one entry and one pool: added time of a read, statements a second, CPU per statement."""

import itertools
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import gevent
import msgspec
import psutil
from hdrh.histogram import HdrHistogram
from uuid6 import uuid7

from bench import schema
from bench.cluster import CLASS_OF_KIND, TOKEN, Cluster
from bench.experiment import DeploymentPlan
from bench.processes import Processes
from siskindale.models.address import Address
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Begin, Commit, Statement
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

READ_SQL = "SELECT ?, value FROM registers WHERE name = ?"
TIMEOUT_S = 5.0
WARM_UP = 200
# Slots are not the limit here: the programs are measured, not the targets.
PLAN = DeploymentPlan(vms=1, databases=("caves",), slots=16, connections=64, connect_ms=1)

KINDS: dict[str, dict[str, str]] = {
    "strict": {"sql": READ_SQL, "access": "read", "class": CLASS_OF_KIND["strict"]},
    "browse": {"sql": READ_SQL, "access": "read", "class": CLASS_OF_KIND["browse"]},
    "keyed": {"sql": schema.WRITE_EVENT, "access": "write", "class": CLASS_OF_KIND["keyed"]},
}


@attrs.frozen
class Latency:
    """Milliseconds at percentiles."""

    median_ms: float
    p99_ms: float
    maximum_ms: float


@attrs.frozen
class Throughput:
    """Statements a second at a number of callers, and CPU microseconds per statement."""

    kind: str
    callers: int
    statements: int
    per_second: float
    latency: Latency
    entry_cpu_us: float
    pool_cpu_us: float


@attrs.frozen
class Speed:
    """Results of one run."""

    direct: Latency
    through: dict[str, Latency]
    throughput: list[Throughput]


def measure(directory: Path, reads: int, statements: int, callers: tuple[int, ...]) -> Speed:
    """Measures everything on one deployment with one VM."""
    with Processes(directory) as processes:
        cluster = Cluster(PLAN, processes, directory)
        cluster.start()
        bench = SpeedBench(cluster)
        direct = bench.direct(reads)
        through = {kind: bench.sequential(kind, reads) for kind in KINDS}
        found = [bench.throughput(kind, count, statements) for kind in KINDS for count in callers]
        return Speed(direct, through, found)


class SpeedBench:
    """Load on the one VM of a running deployment."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._vm = next(iter(cluster.vms.values()))
        self._numbers = itertools.count()

    def direct(self, reads: int) -> Latency:
        """The read as the pool sends it, on one kept connection to the primary."""
        primary = self._cluster.primary(PLAN.databases[0])
        assert primary is not None
        target = self._cluster.groups[PLAN.databases[0]].target(primary.name)
        connection = HttpTargets("bench").connect(target, TIMEOUT_S).unwrap()
        steps = (Begin("read"), Statement(READ_SQL, ("x", "r000")), Commit())
        latency = _timed(reads, lambda: connection.run(steps, TIMEOUT_S).unwrap())
        connection.close()
        return latency

    def sequential(self, kind: str, reads: int) -> Latency:
        """One caller, one statement at a time."""
        client = self._client()
        latency = _timed(reads, lambda: self._statement(client, kind))
        client.close()
        return latency

    def throughput(self, kind: str, callers: int, statements: int) -> Throughput:
        """Several callers without pauses, each on its own connection."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        left = iter(range(statements))
        cpu = self._cpu()
        started = time.monotonic()
        workers = [gevent.spawn(self._work, kind, left, histogram) for _ in range(callers)]
        gevent.joinall(workers, raise_error=True)
        seconds = time.monotonic() - started
        used = {name: after - cpu[name] for name, after in self._cpu().items()}
        return Throughput(
            kind,
            callers,
            statements,
            statements / seconds,
            _latency(histogram),
            used["entry"] / statements * 1e6,
            used["pool"] / statements * 1e6,
        )

    def _work(self, kind: str, left: Iterator[int], histogram: HdrHistogram) -> None:
        client = self._client()
        for _ in left:
            began = time.monotonic()
            self._statement(client, kind)
            histogram.record_value(int((time.monotonic() - began) * 1e6))
        client.close()

    def _statement(self, client: HttpClient, kind: str) -> None:
        number = next(self._numbers)
        params = [f"u{number}", "r000"] if kind != "keyed" else [f"u{number}", "speed", number]
        headers = {"Idempotency-Key": str(uuid7())} if kind == "keyed" else {}
        response = client.request(
            "POST",
            f"/v1/databases/{PLAN.databases[0]}/statements",
            msgspec.json.encode({**KINDS[kind], "params": params}),
            TIMEOUT_S,
            headers,
        ).unwrap()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.body!r}")

    def _client(self) -> HttpClient:
        address: Address = self._vm.settings.entry.listen
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        return HttpClient(address, headers, TrafficPurpose.STATEMENTS)

    def _cpu(self) -> dict[str, float]:
        return {name: self._cpu_of(name) for name in ("entry", "pool")}

    def _cpu_of(self, program: str) -> float:
        times = psutil.Process(self._cluster.processes.get(self._vm.process(program)).pid)
        used = times.cpu_times()
        return used.user + used.system


def _timed(count: int, call: Callable[[], object]) -> Latency:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for number in range(count + WARM_UP):
        began = time.monotonic()
        call()
        if number >= WARM_UP:
            histogram.record_value(int((time.monotonic() - began) * 1e6))
    return _latency(histogram)


def _latency(histogram: HdrHistogram) -> Latency:
    percentiles = (50, 99, 100)
    return Latency(*(histogram.get_value_at_percentile(p) / 1000 for p in percentiles))
