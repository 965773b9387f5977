"""The controller program with real targets and a real platform."""

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.cluster import Cluster
from bench.experiment import DeploymentPlan
from bench.processes import Processes, wait_until

DATABASE = "caves"


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """A deployment of three VMs and one database."""
    with Processes(tmp_path) as processes:
        started = Cluster(DeploymentPlan(databases=(DATABASE,)), processes, tmp_path)
        started.start()
        yield started


def wait_replaced(cluster: Cluster, old: str) -> None:
    def replaced() -> bool:
        found = cluster.primary(DATABASE)
        return found is not None and found.name != old

    wait_until(replaced, 10.0, f"{old} replaced")


def test_frozen_primary_is_replaced_and_follows_after_it_resumes(cluster: Cluster) -> None:
    """Guards against detection or promotion that works only in simulation."""
    old = cluster.primary(DATABASE)
    assert old is not None
    process = cluster.groups[DATABASE].process(old.name)
    process.signal(signal.SIGSTOP)
    wait_replaced(cluster, old.name)
    process.signal(signal.SIGCONT)

    def follows() -> bool:
        found = next((s for s in cluster.statuses(DATABASE) if s.name == old.name), None)
        return found is not None and found.role == "replica" and found.matched

    wait_until(follows, 10.0, f"{old.name} follows")


def test_drain_exits_with_success_and_the_next_controller_takes_over(cluster: Cluster) -> None:
    """Guards against a hanging shutdown, and a group without a controller after it."""
    for vm in ("vm1", "vm2"):
        process = cluster.processes.get(f"{vm}-controller")
        assert process.terminate(10.0) == 0
    old = cluster.primary(DATABASE)
    assert old is not None
    cluster.groups[DATABASE].process(old.name).kill()
    wait_replaced(cluster, old.name)
