"""Share of reads served by replicas at several lags, compared to an oracle and to round robin."""

import bisect
import itertools
import time
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path
from random import Random

import attrs
import gevent
from returns.result import Success

from bench import schema
from bench.callers import Callers, Session
from bench.checks import WRITE_KINDS
from bench.cluster import BROWSE_MAX_AGE_MS, Cluster
from bench.experiment import DeploymentPlan, Experiment, Mix, Workload
from bench.history import DONE, Event
from bench.run import run_experiment
from siskindale.models.bundle import Target
from siskindale.models.group import Role
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import DataConnection, Statement

LAGS_MS = (0.0, 50.0, 500.0, 5000.0)
BASELINE_PAUSE_S = 0.02
# Few sessions, so that a session often reads soon after its own write.
SESSIONS = 40
REQUEST_TIMEOUT_S = 2.0
CONNECT_RETRY_S = 0.2
# Time beyond the lag until a write is visible on a replica: polling and applying the log.
APPLY_MARGIN_S = 0.01

DEPLOYMENTS = {
    "rodopi": (
        DeploymentPlan(network_ms=1.5),
        Mix(browse=55, strict=5, large=0, write=10, keyed=25, transaction=5),
    ),
    "alpenrand": (
        DeploymentPlan(
            "alpenrand",
            ("vienna", "graz", "linz"),
            ("enrolment", "placements", "certificates"),
            connections=30,
            connect_ms=30,
            network_ms=1.5,
        ),
        Mix(browse=88, strict=2, large=0, write=2, keyed=6, transaction=2),
    ),
}


@attrs.frozen
class RoutingResult:
    """Counts of the reads of one run that accept old data.

    `eligible` counts the reads that an oracle with exact knowledge of the replicas could send to
    one, `eligible_served` those of them that a replica served. `round_robin_reads` bypassed the
    proxy and went to the replicas in turn; `round_robin_broken` of them missed an acknowledged
    write of their own session.
    """

    deployment: str
    lag_ms: float
    reads: int
    on_replicas: int
    eligible: int
    eligible_served: int
    round_robin_reads: int
    round_robin_broken: int

    @property
    def share(self) -> float:
        """Share of the reads that replicas served."""
        return self.on_replicas / self.reads if self.reads else 0.0

    @property
    def oracle_share(self) -> float:
        """Share of the reads eligible by the oracle that replicas served."""
        return self.eligible_served / self.eligible if self.eligible else 1.0


def measure(deployment: str, lag_ms: float, seconds: float, directory: Path) -> RoutingResult:
    """Runs a deployment's mix at a lag, with the round-robin baseline at the same time."""
    plan, mix = DEPLOYMENTS[deployment]
    plan = attrs.evolve(plan, ship_lag_ms=0.0, apply_lag_ms=lag_ms, spare_connections=2)
    workload = Workload(
        seconds=seconds, rate=150.0, sessions=SESSIONS, mix=mix, resend=0.0, hasty=0.0
    )
    baselines: list[RoundRobinBaseline] = []

    def start(cluster: Cluster) -> None:
        baselines.append(RoundRobinBaseline(cluster, workload))

    run = run_experiment(Experiment(plan, workload), directory, on_started=start)
    baseline = baselines[0]
    baseline.stop()
    # The history lacks the writes that create the tables, so reads count after replicas have them.
    settled_at = run.start_at + lag_ms / 1000
    reads = [e for e in _browse_reads(run.record.events) if e.sent_at > settled_at]
    oracle = Oracle(run.record.events, lag_ms / 1000 + APPLY_MARGIN_S)
    eligible = [e for e in reads if oracle.could_serve(e)]
    return RoutingResult(
        deployment,
        lag_ms,
        len(reads),
        sum(e.role == "replica" for e in reads),
        len(eligible),
        sum(e.role == "replica" for e in eligible),
        baseline.reads,
        baseline.stale_reads,
    )


def _browse_reads(events: Iterable[Event]) -> list[Event]:
    return [e for e in events if e.kind == "browse" and e.outcome == DONE]


class Oracle:
    """Decides from the complete history whether a replica with a known lag could serve a read."""

    def __init__(self, events: Iterable[Event], lag_s: float) -> None:
        self._lag_s = lag_s
        self._writes: dict[str, list[float]] = defaultdict(list)
        self._seen: dict[tuple[str, str], list[float]] = defaultdict(list)
        ordered = sorted((e for e in events if e.outcome == DONE), key=lambda e: e.ended_at)
        for event in ordered:
            if event.kind in (*WRITE_KINDS, "transaction", "commit"):
                self._writes[event.database].append(event.ended_at)
            if event.kind in (*WRITE_KINDS, "transaction", "commit", "strict"):
                self._seen[event.session, event.database].append(event.ended_at)

    def could_serve(self, read: Event) -> bool:
        """Whether a replica has all that the session has seen, and data no older than accepted."""
        applied_until = read.sent_at - self._lag_s
        seen = self._seen[read.session, read.database]
        last_seen_at = seen[bisect.bisect_left(seen, read.sent_at) - 1] if seen else 0.0
        if last_seen_at < read.sent_at and self._has_write_between(
            read.database, applied_until, last_seen_at
        ):
            return False
        accepted_from = read.sent_at - BROWSE_MAX_AGE_MS / 1000
        return not self._has_write_between(read.database, applied_until, accepted_from)

    def _has_write_between(self, database: str, after: float, until: float) -> bool:
        writes = self._writes[database]
        return bisect.bisect_right(writes, until) > bisect.bisect_right(writes, after)


class RoundRobinBaseline:
    """A session that writes through the proxy and reads directly from the replicas in turn."""

    def __init__(self, cluster: Cluster, workload: Workload) -> None:
        self.reads = 0
        self.stale_reads = 0
        self._cluster = cluster
        self._random = Random(workload.seed)
        self._workload = workload
        self._events: list[Event] = []
        self._callers = Callers(cluster.access(), workload, self._random, self._events.append)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stops the baseline."""
        self._greenlet.kill()

    def _run(self) -> None:
        database = self._cluster.plan.databases[0]
        replicas = itertools.cycle(self._connect_replicas(database))
        session = self._callers.new_session(1_000_000)
        for connection in replicas:
            self._write_and_read(session, database, connection)
            gevent.sleep(BASELINE_PAUSE_S)

    def _write_and_read(self, session: Session, database: str, connection: DataConnection) -> None:
        mix = self._workload.mix
        if self._random.random() < (mix.write + mix.keyed) / (mix.browse + mix.write + mix.keyed):
            self._callers.write(session, database, time.monotonic())
        acknowledged_seq = max((e.seq for e in self._events if e.outcome == DONE), default=0)
        statement = Statement(schema.READ_OWN, ("baseline", session.name))
        answer = connection.run((statement,), REQUEST_TIMEOUT_S)
        if isinstance(answer, Success):
            result = answer.unwrap().results[0]
            seen = int(str(result.rows[0][1] or 0)) if result else 0
            self.reads += 1
            self.stale_reads += seen < acknowledged_seq

    def _connect_replicas(self, database: str) -> list[DataConnection]:
        group = self._cluster.groups[database]
        names = [s.name for s in self._cluster.statuses(database) if s.role is Role.REPLICA]
        return [_connect_with_retry(group.target(name)) for name in names]


def _connect_with_retry(target: Target) -> DataConnection:
    # Pools may briefly use the spare connections while their connection shares change.
    while True:
        connected = HttpTargets("baseline").connect(target, REQUEST_TIMEOUT_S)
        if isinstance(connected, Success):
            return connected.unwrap()
        gevent.sleep(CONNECT_RETRY_S)
