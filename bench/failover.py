"""Failover time: from the loss of a primary until a keyed write is acknowledged again.

Writes start every `WRITE_EVERY_S` after the loss, through the entries of all VMs in turn; the first
acknowledged one ends the measurement. The time until a new primary has its marker on a majority is
taken beside it, so that the share of the controllers shows.
"""

import itertools
import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import gevent
import msgspec
from gevent.event import AsyncResult
from hdrh.histogram import HdrHistogram
from returns.result import Success
from uuid6 import uuid7

from bench import schema
from bench.cluster import CLASS_OF_KIND, TOKEN, Cluster
from bench.experiment import DeploymentPlan
from bench.processes import Processes, wait_until
from siskindale.models.group import Role, TargetStatus, majority
from siskindale.targets.http import HttpTargets
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

MODES = ("kill", "isolate", "cut", "freeze", "pools")
SIDES = {
    "isolate": ["targets", "controllers"],
    "cut": ["targets", "controllers", "pools"],
    "pools": ["pools"],
}
ROUNDS = 4
# A group allows one promotion in 5 s and six in ten minutes: each one is visited every eighth time.
PLAN = DeploymentPlan(vms=7, databases=tuple(f"caves{n}" for n in range(1, 9)))
DEADLINE_MS = 14_000
WRITE_EVERY_S = 0.02
STATUS_EVERY_S = 0.01
STATUS_TIMEOUT_S = 0.5
REJOIN_S = 20.0
QUIET_S = 0.5


@attrs.frozen
class Loss:
    """One loss of a primary; seconds until the marker and until the first acknowledged write."""

    database: str
    mode: str
    store_up: bool
    marker_s: float | None
    write_s: float | None


@attrs.frozen
class Summary:
    """Milliseconds over a number of losses; `failed` are those without a write within 14 s."""

    name: str
    losses: int
    failed: int
    median_ms: float
    p99_ms: float
    maximum_ms: float


def measure(
    directory: Path, rounds: int = ROUNDS, progress: Callable[[Loss], None] = lambda _: None
) -> list[Loss]:
    """Loses each database's primary once a round, with the store down in the second half."""
    with Processes(directory) as processes:
        cluster = Cluster(PLAN, processes, directory)
        cluster.start()
        bench = FailoverBench(cluster)
        return list(bench.run(rounds, progress))


def summarise(losses: list[Loss]) -> list[Summary]:
    """Returns the figures of all losses, of the store's states and of each mode."""
    parts: dict[str, list[Loss]] = {
        "all": losses,
        "store up": [loss for loss in losses if loss.store_up],
        "store down": [loss for loss in losses if not loss.store_up],
        **{mode: [loss for loss in losses if loss.mode == mode] for mode in MODES},
    }
    found = [_summary(name, [loss.write_s for loss in part]) for name, part in parts.items()]
    return [*found, _summary("all, until the marker", [loss.marker_s for loss in losses])]


def _summary(name: str, seconds: list[float | None]) -> Summary:
    histogram = HdrHistogram(1, 60_000, 3)
    for value in seconds:
        if value is not None:
            histogram.record_value(round(value * 1000))
    median, p99 = (histogram.get_value_at_percentile(p) for p in (50, 99))
    failed = seconds.count(None)
    return Summary(name, len(seconds), failed, median, p99, histogram.get_max_value())


class FailoverBench:
    """Losses on a running deployment, one at a time."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "Content-Type": "application/json",
            "Siskindale-Deadline-Ms": str(DEADLINE_MS),
        }
        entries = [vm.settings.entry.listen for vm in cluster.vms.values()]
        clients = [HttpClient(entry, headers, TrafficPurpose.STATEMENTS, 256) for entry in entries]
        self._clients = itertools.cycle(clients)
        self._numbers = itertools.count()

    def run(self, rounds: int, progress: Callable[[Loss], None]) -> Iterator[Loss]:
        """Yields one loss after the other; the modes rotate over the databases."""
        databases = self._cluster.plan.databases
        for turn in range(rounds):
            store_up = turn < (rounds + 1) // 2
            self._cluster.platform.faults(down=not store_up)
            for number, database in enumerate(databases):
                loss = self._lose(database, MODES[(number + turn) % len(MODES)], store_up)
                progress(loss)
                yield loss

    def _lose(self, database: str, mode: str, store_up: bool) -> Loss:
        wait_until(lambda: self._settled(database), REJOIN_S, f"{database} settled")
        gevent.sleep(QUIET_S)
        before = self._cluster.primary(database)
        assert before is not None
        self._fail(database, before.name, mode)
        lost_at = time.monotonic()
        marker = gevent.spawn(self._wait_marker, database, before, lost_at)
        write_s = self._first_write(database, lost_at)
        marker.join(timeout=1.0)
        self._repair(database, before.name)
        return Loss(database, mode, store_up, marker.value, write_s)

    def _fail(self, database: str, name: str, mode: str) -> None:
        group = self._cluster.groups[database]
        if mode == "kill":
            group.process(name).kill()
        elif mode == "freeze":
            group.process(name).signal(signal.SIGSTOP)
        else:
            group.faults(name, cut_from=SIDES[mode], cut_mode="hang")

    def _repair(self, database: str, name: str) -> None:
        group = self._cluster.groups[database]
        if not group.process(name).running:
            group.restart(name)
        group.process(name).signal(signal.SIGCONT)
        group.faults(name, cut_from=[], cut_mode="drop")

    def _first_write(self, database: str, lost_at: float) -> float | None:
        """Returns the time until the first of many writes is acknowledged."""
        first: AsyncResult[float] = AsyncResult()
        give_up = lost_at + DEADLINE_MS / 1000
        writes = []
        while not first.ready() and time.monotonic() < give_up:
            writes.append(gevent.spawn(self._write, database, first))
            first.wait(WRITE_EVERY_S)
        gevent.killall(writes)
        return first.value - lost_at if first.ready() else None

    def _write(self, database: str, first: "AsyncResult[float]") -> None:
        number = next(self._numbers)
        body = {
            "sql": schema.WRITE_EVENT,
            "params": [f"failover-{number}", "failover", number],
            "access": "write",
            "class": CLASS_OF_KIND["keyed"],
        }
        answer = next(self._clients).request(
            "POST",
            f"/v1/databases/{database}/statements",
            msgspec.json.encode(body),
            DEADLINE_MS / 1000,
            {"Idempotency-Key": str(uuid7())},
        )
        acknowledged = isinstance(answer, Success) and answer.unwrap().status == 200
        if acknowledged and not first.ready():
            first.set(time.monotonic())

    def _wait_marker(self, database: str, before: TargetStatus, lost_at: float) -> float | None:
        """Returns the time until a newer primary has its marker on a majority of its voters."""
        targets = [t for t in self._cluster.groups[database].group.targets if t.name != before.name]
        controls = [HttpTargets("bench").control(target) for target in targets]
        while time.monotonic() < lost_at + DEADLINE_MS / 1000:
            answers = [control.status(STATUS_TIMEOUT_S) for control in controls]
            statuses = [answer.unwrap() for answer in answers if isinstance(answer, Success)]
            if _has_new_primary(statuses, before.term):
                return time.monotonic() - lost_at
            gevent.sleep(STATUS_EVERY_S)
        return None

    def _settled(self, database: str) -> bool:
        """Whether all targets follow the primary and hold its log."""
        statuses = self._cluster.statuses(database)
        primary = self._cluster.primary(database)
        return (
            primary is not None
            and all(
                s.term == primary.term and s.matched and s.log.position >= primary.marker.position
                for s in statuses
            )
            and len(statuses) == self._cluster.plan.targets_per_database
        )


def _has_new_primary(statuses: list[TargetStatus], old_term: int) -> bool:
    primary = next((s for s in statuses if s.role is Role.PRIMARY and s.term > old_term), None)
    if primary is None:
        return False
    holders = [
        s
        for s in statuses
        if s.term == primary.term and s.matched and s.log.position >= primary.marker.position
    ]
    return len(holders) >= majority(len(primary.voters))
