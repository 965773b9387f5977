"""Which replica becomes the primary, by what the replicas know of the log."""

import attrs
import gevent
import pytest

from bench.proxy_deployment import Client, Deployment, Proxy, eventually
from siskindale.models.catalog import GroupLimits, RegistrationState
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions.succession import (
    ReplicaLog,
    enough_answered,
    may_lack_acknowledged,
    rank_successors,
)
from siskindale.proxy.tables import Group


def log(position: int, exact: bool = True, stopped: bool = True) -> ReplicaLog:
    """Returns the log of a replica that ends at a position of the first term."""
    return ReplicaLog(LogPosition(1, position), 1, exact, stopped)


def test_the_most_complete_log_is_chosen(group: Group) -> None:
    """Guards against a promotion that rolls back more commits than necessary."""
    successors = rank_successors(group, {"b": log(9), "c": log(10), "a": log(99)})
    assert [target.id for target in successors] == ["c", "b"]


@pytest.mark.parametrize("leaving", ["b", "c"])
def test_draining_or_unresponsive_targets_are_not_chosen(group: Group, leaving: str) -> None:
    """Guards against the promotion of a target that is draining or does not run."""
    target = group.targets[leaving]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    assert rank_successors(group, {leaving: log(9)}) == []
    assert rank_successors(group, {}) == []


def test_a_draining_replica_leads_if_it_alone_has_acknowledged_commits(group: Group) -> None:
    """Guards against the loss of commits that only a replica about to leave has received."""
    group.limits = GroupLimits(16, synchronous_replicas=1)
    target = group.targets["b"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    assert [t.id for t in rank_successors(group, {"b": log(9), "c": log(8)})] == ["b", "c"]
    assert [t.id for t in rank_successors(group, {"b": log(9), "c": log(9)})] == ["c", "b"]


@pytest.mark.parametrize(
    ("synchronous", "silent", "enough"), [(1, 0, True), (1, 1, False), (2, 1, True)]
)
def test_replicas_are_not_stopped_while_too_many_are_silent(
    group: Group, synchronous: int, silent: int, enough: bool
) -> None:
    """Guards against commits that are held up for a promotion that is not possible yet."""
    group.limits = GroupLimits(16, synchronous_replicas=synchronous)
    logs = {"c": log(10), **({} if silent else {"b": log(9)})}
    assert enough_answered(group, group.targets["c"], logs) is enough


@pytest.mark.parametrize(
    ("synchronous", "other", "unsafe"),
    [
        (0, None, False),
        (1, None, True),
        (1, log(9), False),
        (1, log(10), False),
        (1, log(11), True),
        (1, log(9, exact=False), True),
        (1, log(9, stopped=False), True),
        (2, None, False),
    ],
)
def test_a_successor_has_what_any_acknowledging_replica_may_have(
    group: Group, synchronous: int, other: ReplicaLog | None, unsafe: bool
) -> None:
    """Guards against the promotion of a replica that lacks acknowledged commits.

    The other replica has not answered, is behind, ahead, says only a lower bound, or still receives
    commits. With two synchronous replicas each one has all acknowledged commits.
    """
    group.limits = GroupLimits(16, synchronous_replicas=synchronous)
    logs = {"c": log(10), **({"b": other} if other is not None else {})}
    assert may_lack_acknowledged(group, group.targets["c"], logs) is unsafe


def test_an_unknown_primary_counts_as_a_replica(group: Group) -> None:
    """Guards against leaving out a target that may have acknowledged, since no primary is known."""
    group.limits = GroupLimits(16, synchronous_replicas=1)
    group.leadership.primary_id = ""
    logs = {"b": log(9), "c": log(10)}
    assert may_lack_acknowledged(group, group.targets["c"], logs)
    assert not may_lack_acknowledged(group, group.targets["c"], {**logs, "a": log(10)})


@pytest.fixture
def synchronous(deployment: Deployment) -> Deployment:
    """A deployment whose commits are acknowledged once one replica has received them."""
    deployment.group.synchronous_replicas = 1
    deployment.configure(2)
    return deployment


def read_without_pause(proxy: Proxy, client: Client) -> None:
    """Reads again and again, so that connections to the replica that may serve it are busy."""
    while True:
        client.query("READ item")


def test_a_replica_without_the_acknowledged_commits_is_not_promoted(
    synchronous: Deployment,
) -> None:
    """Guards against the loss of acknowledged commits with the primary.

    Seen where reads kept all connections to the replica that has them, so that it was not asked.
    """
    group = synchronous.group
    proxies = [synchronous.start_proxy("vm1")]
    proxies.append(synchronous.start_proxy("vm2", seeds=[synchronous.peers_address("vm1")]))
    group.targets["t2"].faults.deaf = True
    for target in group.targets.values():
        target.faults.delay_s = 0.02
    readers = [
        gevent.spawn(read_without_pause, proxy, proxy.client("bounded"))
        for proxy in proxies
        for _ in range(8)
    ]
    writer = proxies[0].client()
    for number in range(40):
        assert writer.query(f"WRITE item {number}").error is None
    group.primary.crash()
    synchronous.register_all()
    eventually(lambda: writer.query("READ item").error is None, "another target leads")
    gevent.killall(readers)
    assert group.primary.id == "t1"
    assert writer.query("READ item").rows == (b"39",)


def test_no_commit_is_acknowledged_that_the_chosen_successor_lacks(
    synchronous: Deployment,
) -> None:
    """Guards against commits that another replica acknowledges after the successor was chosen."""
    group = synchronous.group
    writer = synchronous.start_proxy().client()
    assert writer.query("WRITE item 0").error is None
    leaving = group.primary
    acknowledged = [b"0"]
    synchronous.register(leaving, state="draining")

    def wrote_to_successor() -> bool:
        data = b"%d" % len(acknowledged)
        if writer.query(f"WRITE item{len(acknowledged)} {data.decode()}").error is None:
            acknowledged.append(data)
        return group.primary is not leaving and len(group.primary.log) > 3

    eventually(wrote_to_successor, "another target leads")
    assert {data for *_, data in group.primary.log} >= set(acknowledged)
    assert not any(target.stopped for target in group.targets.values())


def test_one_vm_at_a_time_stops_replicas_and_none_undoes_the_stop(
    synchronous: Deployment,
) -> None:
    """Guards against the loss of acknowledged commits while several VMs replace one primary.

    Seen where a replica was cut off from all VMs: each of them took the duty, stopped replicas, and
    let them receive again when it gave up, although another VM relied on the stop.
    """
    group = synchronous.group
    first = synchronous.start_proxy("vm1")
    seeds = [synchronous.peers_address("vm1")]
    others = [synchronous.start_proxy(name, seeds=seeds) for name in ("vm2", "vm3")]
    writer = first.client()
    eventually(lambda: writer.query("WRITE item 0").error is None, "the group has a primary")
    eventually(lambda: all("peer-found" in p.log for p in (first, *others)), "the VMs know peers")
    group.targets["t2"].faults.drop_requests = group.targets["t2"].faults.deaf = True
    synchronous.register(group.primary, state="draining")
    eventually(
        lambda: any("successor-unsafe" in proxy.log for proxy in (first, *others)), "one VM tries"
    )
    row_before = synchronous.platform.row("duties", "failover")
    gevent.sleep(1.6)
    row_after = synchronous.platform.row("duties", "failover")
    assert row_before is not None
    assert row_after == row_before
    assert group.controls == []
    group.targets["t2"].faults.drop_requests = group.targets["t2"].faults.deaf = False
    eventually(lambda: any(verb == "promote" for _, verb in group.controls), "a target leads")
    assert [verb for _, verb in group.controls] == ["PAUSE"] * (len(group.controls) - 1) + [
        "promote"
    ]
    assert len({call.holder for call in synchronous.platform.promotions}) == 1


def test_replicas_that_a_lost_vm_left_stopped_receive_again(synchronous: Deployment) -> None:
    """Guards against replicas that stay stopped, as the VM that stopped them was lost since."""
    group = synchronous.group
    group.targets["t1"].stopped = True
    writer = synchronous.start_proxy().client()
    eventually(lambda: writer.query("WRITE item 0").error is None, "the group has a primary")
    assert group.targets["t1"].stopped
    eventually(lambda: not group.targets["t1"].stopped, "the replica receives again")
    assert group.term == 1
