"""Time from the acceptance of a bundle until the last program has it in effect."""

import itertools
import statistics
import time
from collections.abc import Callable
from pathlib import Path

import attrs
import gevent

from bench.cluster import PROGRAMS, Cluster, Vm, get_body
from bench.experiment import DeploymentPlan
from bench.processes import Processes
from siskindale.bundles.rolling import read_audit_row
from siskindale.store.http import http_platform

PROPAGATION_LIMIT_S = 8.0
SAMPLE_INTERVAL_S = 0.02
ADOPTION_TIMEOUT_S = 30.0
STORE_OUTAGE_S = 3.0
VMS = 7
_VERSION_METRIC_PREFIX = b"siskindale_bundle_version "


@attrs.frozen
class Propagation:
    """Seconds until the last program had the bundle in effect, for each roll under a condition."""

    condition: str
    programs: int
    last_s: tuple[float, ...]

    @property
    def median_s(self) -> float:
        """Median over the rolls."""
        return statistics.median(self.last_s)

    @property
    def max_s(self) -> float:
        """Maximum over the rolls."""
        return max(self.last_s)


Disturbance = Callable[[Cluster, int], None]


def measure(directory: Path, rolls: int) -> list[Propagation]:
    """Measures every condition on one deployment of seven VMs."""
    plan = DeploymentPlan(databases=("caves",), vms=VMS)
    with Processes(directory) as processes:
        cluster = Cluster(plan, processes, directory)
        cluster.start()
        return [
            Propagation(name, VMS * len(PROGRAMS), _measure_rolls(cluster, rolls, disturb))
            for name, disturb in CONDITIONS.items()
        ]


def _measure_rolls(cluster: Cluster, count: int, disturb: Disturbance) -> tuple[float, ...]:
    return tuple(_measure_roll(cluster, number, disturb) for number in range(count))


def _measure_roll(cluster: Cluster, number: int, disturb: Disturbance) -> float:
    """Rolls one bundle; returns the seconds from its acceptance to its adoption by all programs."""
    bundle = attrs.evolve(cluster.bundle, version=cluster.bundle.version + 1)
    cluster.bundle = cluster.operators.roll(bundle)
    accepted_at = _acceptance_time(cluster, bundle.version)
    watchers = [
        gevent.spawn(_adoption_time, vm, program, bundle.version)
        for vm, program in cluster.programs()
    ]
    disturb(cluster, number)
    gevent.joinall(watchers, raise_error=True)
    # Varies the delay so that rolls do not always start at the same phase of the programs' polls.
    gevent.sleep(0.5 + 0.37 * (number % 4))
    return max(watcher.value for watcher in watchers) - accepted_at


def _acceptance_time(cluster: Cluster, version: int) -> float:
    """Returns the monotonic time of the audit row, since the roll command ends noticeably later."""
    row = read_audit_row(http_platform(cluster.platform.settings("bench")), version)
    if row is None:
        raise RuntimeError(f"version {version} has no audit row")
    return time.monotonic() - (time.time() - row.at)


def _adoption_time(vm: Vm, program: str, version: int) -> float:
    """Waits until the program reports the version or a later one; returns the monotonic time."""
    give_up_at = time.monotonic() + ADOPTION_TIMEOUT_S
    while time.monotonic() < give_up_at:
        if _parse_version(get_body(vm.health_address(program), "/metrics")) >= version:
            return time.monotonic()
        gevent.sleep(SAMPLE_INTERVAL_S)
    raise TimeoutError(f"{vm.name} {program} did not adopt version {version}")


def _parse_version(body: bytes | None) -> int:
    lines = (line for line in (body or b"").splitlines() if line.startswith(_VERSION_METRIC_PREFIX))
    return next((int(float(line.removeprefix(_VERSION_METRIC_PREFIX))) for line in lines), -1)


def _no_disturbance(cluster: Cluster, number: int) -> None:
    """Does nothing."""


def _store_outage(cluster: Cluster, number: int) -> None:
    """Makes the platform unavailable for `STORE_OUTAGE_S` after the acceptance."""
    cluster.platform.set_faults(down=True)
    gevent.sleep(STORE_OUTAGE_S)
    cluster.platform.set_faults(down=False)


def _restart_programs(cluster: Cluster, number: int) -> None:
    """Kills and restarts the programs of two VMs right after the acceptance."""
    names = list(cluster.vms)
    chosen = itertools.islice(itertools.cycle(names), number % len(names), number % len(names) + 2)
    for name, program in itertools.product(chosen, PROGRAMS):
        cluster.processes.restart(cluster.vms[name].process_name(program))


CONDITIONS: dict[str, Disturbance] = {
    "undisturbed": _no_disturbance,
    f"store down for {STORE_OUTAGE_S:g} s from the acceptance": _store_outage,
    "programs of 2 VMs killed and restarted": _restart_programs,
}
