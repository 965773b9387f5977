"""Since when targets drain, as VMs tell each other."""

import attrs
import gevent
import pytest

from bench.proxy_deployment import Deployment, eventually
from siskindale.models.catalog import RegistrationState
from siskindale.models.gossip import DrainingTarget
from siskindale.proxy.decisions import draining_targets
from siskindale.proxy.tables import Group


@pytest.fixture
def draining(group: Group) -> Group:
    """A group whose primary drains since 100 s, as a VM knows that started then."""
    target = group.targets["a"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    target.draining_since = 100.0
    target.drain_observed = False
    return group


def test_the_earliest_known_start_of_a_drain_period_holds(draining: Group) -> None:
    """Guards against a drain period that a VM counts from its own start."""
    told = DrainingTarget("g", "a", 1, 5.5)
    draining_targets.adopt({"g": draining}, [told], 101.0)
    assert draining.targets["a"].draining_since == 95.5
    draining_targets.adopt({"g": draining}, [attrs.evolve(told, age_s=0.5)], 101.0)
    assert draining.targets["a"].draining_since == 95.5
    assert draining_targets.report({"g": draining}, 103.0) == ()


def test_a_vm_that_has_seen_a_target_before_it_drained_keeps_what_it_knows(
    draining: Group,
) -> None:
    """Guards against drain periods that end early, by the VM that read the registrations first."""
    target = draining.targets["a"]
    target.drain_observed = True
    assert draining_targets.report({"g": draining}, 103.0) == (DrainingTarget("g", "a", 1, 3.0),)
    draining_targets.adopt({"g": draining}, [DrainingTarget("g", "a", 1, 8.0)], 101.0)
    assert target.draining_since == 100.0


@pytest.mark.parametrize(
    "told",
    [
        DrainingTarget("g", "a", 2, 50.0),
        DrainingTarget("g", "b", 1, 50.0),
        DrainingTarget("other", "a", 1, 50.0),
    ],
)
def test_reports_of_other_targets_or_runs_change_nothing(
    draining: Group, told: DrainingTarget
) -> None:
    """Guards against a primary that is left early for the drain period of another target."""
    draining_targets.adopt({"g": draining}, [told], 101.0)
    assert draining.targets["a"].draining_since == 100.0
    assert draining.targets["b"].draining_since is None


def test_a_vm_that_starts_while_a_primary_drains_leaves_it_in_time(deployment: Deployment) -> None:
    """Guards against statements that reach a draining target after its drain period."""
    deployment.settings = {"drain_ms": 7000}
    for replica in ("t1", "t2"):
        deployment.group.targets[replica].crash()
        deployment.platform.put("servers", replica, None)
    first = deployment.start_proxy("vm1")
    client = first.client()
    eventually(lambda: client.query("WRITE item 1").error is None, "the primary serves")
    deployment.register(deployment.group.primary, state="draining")
    eventually(lambda: "state=draining" in first.log, "the first VM knows")
    gevent.sleep(3.0)
    second = deployment.start_proxy("vm2", seeds=[deployment.peers_address("vm1")])
    late = second.client()
    eventually(lambda: late.query("WRITE item 2").error is None, "the second VM serves")
    gevent.sleep(4.0)
    assert late.query("WRITE item 3").error is not None
