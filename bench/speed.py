"""Speed of one entry and one pool: latency added to a read, statements/s, CPU per statement."""

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
from bench.cluster import CALLER_TOKEN, CLASS_OF_KIND, Cluster
from bench.experiment import DeploymentPlan
from bench.processes import Processes
from siskindale.models.address import Address
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Begin, Commit, Statement
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

READ_SQL = "SELECT ?, value FROM registers WHERE name = ?"
REQUEST_TIMEOUT_S = 5.0
WARM_UP_CALLS = 200
# Enough slots that the targets are not the limit: the programs are measured.
PLAN = DeploymentPlan(vms=1, databases=("caves",), slots=16, connections=64, connect_ms=1)

REQUEST_BODIES: dict[str, dict[str, str]] = {
    "strict": {"sql": READ_SQL, "access": "read", "class": CLASS_OF_KIND["strict"]},
    "browse": {"sql": READ_SQL, "access": "read", "class": CLASS_OF_KIND["browse"]},
    "keyed": {"sql": schema.WRITE_EVENT, "access": "write", "class": CLASS_OF_KIND["keyed"]},
}


@attrs.frozen
class Latency:
    """Latency percentiles in milliseconds."""

    median_ms: float
    p99_ms: float
    maximum_ms: float


@attrs.frozen
class Throughput:
    """Statements per second at a number of callers, and CPU microseconds per statement."""

    kind: str
    callers: int
    statements: int
    per_second: float
    latency: Latency
    entry_cpu_us: float
    pool_cpu_us: float


@attrs.frozen
class Speed:
    """Results of one run: `direct` reads bypass the proxy, `through` are statements through it."""

    direct: Latency
    through: dict[str, Latency]
    throughput: list[Throughput]


def measure(directory: Path, reads: int, statements: int, callers: tuple[int, ...]) -> Speed:
    """Measures everything on one deployment with one VM."""
    with Processes(directory) as processes:
        cluster = Cluster(PLAN, processes, directory)
        cluster.start()
        benchmark = SpeedBenchmark(cluster)
        direct = benchmark.measure_direct(reads)
        through = {kind: benchmark.measure_sequential(kind, reads) for kind in REQUEST_BODIES}
        throughputs = [
            benchmark.measure_throughput(kind, count, statements)
            for kind in REQUEST_BODIES
            for count in callers
        ]
        return Speed(direct, through, throughputs)


class SpeedBenchmark:
    """Applies load to the only VM of a running deployment."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._vm = next(iter(cluster.vms.values()))
        self._numbers = itertools.count()

    def measure_direct(self, reads: int) -> Latency:
        """Measures the read as the pool sends it, on one persistent connection to the primary."""
        primary = self._cluster.primary(PLAN.databases[0])
        assert primary is not None
        target = self._cluster.groups[PLAN.databases[0]].target(primary.name)
        connection = HttpTargets("bench").connect(target, REQUEST_TIMEOUT_S).unwrap()
        steps = (Begin("read"), Statement(READ_SQL, ("x", "r000")), Commit())
        latency = _measure_calls(reads, lambda: connection.run(steps, REQUEST_TIMEOUT_S).unwrap())
        connection.close()
        return latency

    def measure_sequential(self, kind: str, reads: int) -> Latency:
        """Measures one caller that sends one statement at a time."""
        client = self._make_client()
        latency = _measure_calls(reads, lambda: self._send_statement(client, kind))
        client.close()
        return latency

    def measure_throughput(self, kind: str, callers: int, statements: int) -> Throughput:
        """Measures several callers without pauses, each on its own connection."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        remaining = iter(range(statements))
        cpu_before = self._cpu_seconds()
        started_at = time.monotonic()
        workers = [
            gevent.spawn(self._run_worker, kind, remaining, histogram) for _ in range(callers)
        ]
        gevent.joinall(workers, raise_error=True)
        seconds = time.monotonic() - started_at
        cpu_used = {name: after - cpu_before[name] for name, after in self._cpu_seconds().items()}
        return Throughput(
            kind,
            callers,
            statements,
            statements / seconds,
            _latency_of(histogram),
            cpu_used["entry"] / statements * 1e6,
            cpu_used["pool"] / statements * 1e6,
        )

    def _run_worker(self, kind: str, remaining: Iterator[int], histogram: HdrHistogram) -> None:
        client = self._make_client()
        for _ in remaining:
            started_at = time.monotonic()
            self._send_statement(client, kind)
            histogram.record_value(int((time.monotonic() - started_at) * 1e6))
        client.close()

    def _send_statement(self, client: HttpClient, kind: str) -> None:
        number = next(self._numbers)
        params = [f"u{number}", "r000"] if kind != "keyed" else [f"u{number}", "speed", number]
        headers = {"Idempotency-Key": str(uuid7())} if kind == "keyed" else {}
        response = client.request(
            "POST",
            f"/v1/databases/{PLAN.databases[0]}/statements",
            msgspec.json.encode({**REQUEST_BODIES[kind], "params": params}),
            REQUEST_TIMEOUT_S,
            headers,
        ).unwrap()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}: {response.body!r}")

    def _make_client(self) -> HttpClient:
        address: Address = self._vm.settings.entry.listen
        headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "Content-Type": "application/json"}
        return HttpClient(address, headers, TrafficPurpose.STATEMENTS)

    def _cpu_seconds(self) -> dict[str, float]:
        return {name: self._cpu_seconds_of(name) for name in ("entry", "pool")}

    def _cpu_seconds_of(self, program: str) -> float:
        program_process = psutil.Process(
            self._cluster.processes.get(self._vm.process_name(program)).pid
        )
        cpu_usage = program_process.cpu_times()
        return cpu_usage.user + cpu_usage.system


def _measure_calls(count: int, call: Callable[[], object]) -> Latency:
    histogram = HdrHistogram(1, 60_000_000, 3)
    for number in range(count + WARM_UP_CALLS):
        started_at = time.monotonic()
        call()
        if number >= WARM_UP_CALLS:
            histogram.record_value(int((time.monotonic() - started_at) * 1e6))
    return _latency_of(histogram)


def _latency_of(histogram: HdrHistogram) -> Latency:
    percentiles = (50, 99, 100)
    return Latency(*(histogram.get_value_at_percentile(p) / 1000 for p in percentiles))
