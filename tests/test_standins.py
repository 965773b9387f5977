"""Tests the stand-ins through the drivers."""

from pathlib import Path

from prometheus_client import REGISTRY

from bench.deployment import GroupStandin, PlatformStandin, target_arguments
from bench.processes import Processes, free_addresses, wait_until
from siskindale.models.bundle import Target, TargetState
from siskindale.models.group import LogPosition, Role
from siskindale.runtime import counters
from siskindale.store.interface import Condition, Platform, PlatformFailure, Write
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Begin, Commit, Statement, TargetFailure

TIMEOUT_S = 5.0


def test_write_reaches_replicas(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against committed entries that are not shipped or not applied."""
    primary = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    steps = [
        Begin("write"),
        Statement("CREATE TABLE caves (name TEXT PRIMARY KEY, depth REAL)"),
        Statement("INSERT INTO caves VALUES (?, ?)", ("Yagodina", 10.5)),
        Commit(),
    ]
    written = primary.run(steps, TIMEOUT_S).unwrap()
    assert written.at == LogPosition(1, 2)
    assert (written.role, written.matched, written.results[2].row_count) == (Role.PRIMARY, True, 1)
    for name in ("survey-b", "survey-c"):
        control = targets.control(group.target(name))
        status = control.wait_position(1, 2, TIMEOUT_S).unwrap()
        assert (status.log, status.matched, status.role) == (LogPosition(1, 2), True, Role.REPLICA)
        wait_until(lambda c=control: c.status(1).unwrap().applied_position == 2, 2, "apply")
        replica = targets.connect(group.target(name), TIMEOUT_S).unwrap()
        read = replica.run([Statement("SELECT * FROM caves")], TIMEOUT_S).unwrap()
        assert read.results[0].rows == (("Yagodina", 10.5),)
        assert (read.at, read.role) == (LogPosition(1, 2), Role.REPLICA)
        refused = replica.run([Statement("DELETE FROM caves")], TIMEOUT_S).failure()
        assert refused.kind is TargetFailure.ROLE


def test_promotion_truncates_divergent_log(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against an old primary that keeps entries that its successor never had."""
    controls = {t.name: targets.control(t) for t in group.group.targets}
    old = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    old.run([Statement("CREATE TABLE t (n INTEGER)")], TIMEOUT_S).unwrap()
    for name in ("survey-b", "survey-c"):
        controls[name].wait_position(1, 2, TIMEOUT_S).unwrap()
    group.set_faults("survey-a", cut_from=["targets"])
    old.run([Statement("INSERT INTO t VALUES (1)")], TIMEOUT_S).unwrap()
    controls["survey-b"].fence(2, TIMEOUT_S).unwrap()
    controls["survey-c"].fence(2, TIMEOUT_S).unwrap()
    voters = group.group.voters
    marker = controls["survey-b"].promote(2, voters, TIMEOUT_S).unwrap()
    assert (marker.role, marker.marker, marker.voters) == (
        Role.PRIMARY,
        LogPosition(2, 3),
        voters,
    )
    controls["survey-c"].follow(2, group.target("survey-b"), TIMEOUT_S).unwrap()
    new = targets.connect(group.target("survey-b"), TIMEOUT_S).unwrap()
    new.run([Statement("INSERT INTO t VALUES (2)")], TIMEOUT_S).unwrap()
    group.set_faults("survey-a", cut_from=[])
    controls["survey-a"].follow(2, group.target("survey-b"), TIMEOUT_S).unwrap()
    status = controls["survey-a"].wait_position(2, 4, TIMEOUT_S).unwrap()
    assert (status.log, status.matched) == (LogPosition(2, 4), True)
    wait_until(lambda: controls["survey-a"].status(1).unwrap().applied_position == 4, 2, "apply")
    read = old.run([Statement("SELECT n FROM t")], TIMEOUT_S).unwrap()
    assert (read.results[0].rows, read.term, read.matched) == (((2,),), 2, True)


def test_empty_target_joins_group(
    group: GroupStandin, targets: HttpTargets, processes: Processes, tmp_path: Path
) -> None:
    """Guards against a new target that cannot match its empty log with the primary's."""
    primary = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    primary.run([Statement("CREATE TABLE t (n INTEGER)")], TIMEOUT_S).unwrap()
    data, control = free_addresses(2)
    joining = Target("survey-d", "devin", data, control, TargetState.JOINING)
    options = {"initial_primary": "", "voters": ""}
    arguments = target_arguments(group.group, joining, tmp_path, options)
    processes.start(joining.name, "standins.target", arguments)
    processes.wait_accepting(joining.name, control)
    client = targets.control(joining)
    empty = client.status(TIMEOUT_S).unwrap()
    assert (empty.role, empty.term, empty.log) == (Role.FENCED, 0, LogPosition())
    client.follow(1, group.target("survey-a"), TIMEOUT_S).unwrap()
    joined = client.wait_position(1, 2, TIMEOUT_S).unwrap()
    assert (joined.matched, joined.log, joined.voters) == (
        True,
        LogPosition(1, 2),
        group.group.voters,
    )


def test_conditional_commit(platform: Platform) -> None:
    """Guards against a commit that succeeds although its condition does not hold."""
    tables = platform.tables
    version = tables.commit([Condition("t", "k", 0)], [Write("t", "k", {"n": 1})]).unwrap()
    lost = tables.commit([Condition("t", "k", 0)], [Write("t", "k", {"n": 2})]).failure()
    assert lost.kind is PlatformFailure.CONFLICT
    assert tables.read("t", "k").unwrap().value == {"n": 1}
    tables.commit([Condition("t", "k", version)], [Write("t", "k", None)]).unwrap()
    assert tables.read("t", "k").unwrap() is None
    assert [row.deleted for row in tables.scan("t", version).unwrap()] == [True]


def test_known_live_list_is_not_sent_again(
    platform_standin: PlatformStandin, platform: Platform
) -> None:
    """Guards against sending 770 names with each poll, and against a stale list after a change."""
    counters.register_collector()
    for names in ({"vm1"}, {"vm1", "vm2"}):
        platform_standin.set_live(sorted(names))
        before = received_bytes()
        assert platform.live_list.read().unwrap().live == names
        first = received_bytes() - before
        assert platform.live_list.read().unwrap().live == names
        assert received_bytes() - before - first < first


def received_bytes() -> float:
    """Returns the number of bytes that this process has received from the platform."""
    labels = {"purpose": "platform", "direction": "received"}
    return REGISTRY.get_sample_value("siskindale_traffic_bytes_total", labels) or 0.0
