"""Time from the acceptance of a bundle to the last program that serves by it."""

import itertools
import statistics
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import gevent

from bench.cluster import PROGRAMS, Cluster, Vm, get
from bench.experiment import DeploymentPlan
from bench.processes import Processes
from siskindale.bundles.rolling import read_audit_row
from siskindale.store.http import http_platform

BOUND_S = 8.0
SAMPLE_S = 0.02
GIVE_UP_S = 30.0
OUTAGE_S = 3.0
VMS = 7
_PREFIX = b"siskindale_bundle_version "


@attrs.frozen
class Propagation:
    """Seconds until the last program, for each roll of a condition."""

    condition: str
    programs: int
    last_s: tuple[float, ...]

    @property
    def median_s(self) -> float:
        """Median over the rolls."""
        return statistics.median(self.last_s)

    @property
    def max_s(self) -> float:
        """Slowest roll."""
        return max(self.last_s)


Disturb = Callable[[Cluster, int], None]


def measure(directory: Path, rolls: int) -> list[Propagation]:
    """Measures every condition on one deployment of seven VMs."""
    plan = DeploymentPlan(databases=("caves",), vms=VMS)
    with Processes(directory) as processes:
        cluster = Cluster(plan, processes, directory)
        cluster.start()
        return [
            Propagation(name, VMS * len(PROGRAMS), _rolls(cluster, rolls, disturb))
            for name, disturb in CONDITIONS.items()
        ]


def _rolls(cluster: Cluster, count: int, disturb: Disturb) -> tuple[float, ...]:
    return tuple(_roll(cluster, number, disturb) for number in range(count))


def _roll(cluster: Cluster, number: int, disturb: Disturb) -> float:
    """Rolls one bundle; returns the seconds to the last program, counted from the acceptance."""
    bundle = attrs.evolve(cluster.bundle, version=cluster.bundle.version + 1)
    cluster.bundle = cluster.operators.roll(bundle)
    accepted_at = _accepted_at(cluster, bundle.version)
    watchers = [
        gevent.spawn(_serving_at, vm, program, bundle.version) for vm, program in cluster.programs()
    ]
    disturb(cluster, number)
    gevent.joinall(watchers, raise_error=True)
    # Programs poll at different times; the next roll must not always meet the same phase.
    gevent.sleep(0.5 + 0.37 * (number % 4))
    return max(watcher.value for watcher in watchers) - accepted_at


def _accepted_at(cluster: Cluster, version: int) -> float:
    """Returns the time of the audit row; the operators' command ends noticeably later."""
    row = read_audit_row(http_platform(cluster.platform.settings("bench")), version)
    if row is None:
        raise RuntimeError(f"version {version} has no audit row")
    return time.monotonic() - (time.time() - row.at)


def _serving_at(vm: Vm, program: str, version: int) -> float:
    """Returns the time at which the program was seen to serve by the version."""
    give_up = time.monotonic() + GIVE_UP_S
    while time.monotonic() < give_up:
        if _version(get(vm.health(program), "/metrics")) >= version:
            return time.monotonic()
        gevent.sleep(SAMPLE_S)
    raise TimeoutError(f"{vm.name} {program} does not serve by version {version}")


def _version(body: bytes | None) -> int:
    lines = (line for line in (body or b"").splitlines() if line.startswith(_PREFIX))
    return next((int(float(line.removeprefix(_PREFIX))) for line in lines), -1)


def _nothing(cluster: Cluster, number: int) -> None:
    """Leaves the deployment alone."""


def _outage(cluster: Cluster, number: int) -> None:
    """Takes the platform away right after the acceptance."""
    cluster.platform.faults(down=True)
    gevent.sleep(OUTAGE_S)
    cluster.platform.faults(down=False)


def _restarts(cluster: Cluster, number: int) -> None:
    """Kills and restarts the programs of two VMs right after the acceptance."""
    names = list(cluster.vms)
    chosen = itertools.islice(itertools.cycle(names), number % len(names), number % len(names) + 2)
    for name, program in itertools.product(chosen, PROGRAMS):
        cluster.processes.restart(cluster.vms[name].process(program))


CONDITIONS: dict[str, Disturb] = {
    "undisturbed": _nothing,
    f"store down for {OUTAGE_S:g} s from the acceptance": _outage,
    "programs of 2 VMs killed and restarted": _restarts,
}
