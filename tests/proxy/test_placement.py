"""Tests of the choice of a target for a statement."""

from random import Random

import attrs

from siskindale.models.catalog import RegistrationState
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import placement
from siskindale.proxy.tables import Group, Need

READ = Need(LogPosition(1, 1), 1, 9.0, primary_only=False, objective_at=8.0)
WRITE = Need(None, 1, 9.0, primary_only=True, objective_at=8.0)
DRAIN_S = 7.0


def target_order(group: Group, need: Need, now: float = 1.0, domain: str = "west") -> list[str]:
    candidates = placement.candidates(group, need, (), domain, now, DRAIN_S, Random(1))
    return [target.id for target in candidates]


def test_writes_go_to_the_primary_only(group: Group) -> None:
    """Guards against sending a write to a replica."""
    assert target_order(group, WRITE) == ["a"]


def test_reads_stay_in_their_failure_domain(group: Group) -> None:
    """Guards against expensive traffic between failure domains while the local target is free."""
    assert target_order(group, READ)[0] == "b"


def test_reads_avoid_a_target_with_statements_in_flight(group: Group) -> None:
    """Guards against a burst in one failure domain waiting for the two slots of its target."""
    group.targets["b"].in_flight = 4
    assert target_order(group, READ)[0] == "c"


def test_reads_avoid_a_slow_target_and_return_to_it(group: Group) -> None:
    """Guards against reads waiting for a slow replica, and against never trying it again."""
    for _ in range(20):
        placement.note_latency(group.targets["b"], 0.1, now=1.0)
    assert target_order(group, READ)[0] == "c"
    assert target_order(group, READ, now=20.0)[0] == "b"


def test_reads_leave_a_target_that_resets_its_connections_and_return_to_it(group: Group) -> None:
    """Guards against a target that fails statements at once and looks fast for that.

    Seen at 87 VMs: a replica whose health checks were good reset the connections of statements for
    five seconds, and its failures counted as short latencies.
    """
    target = group.targets["b"]
    for _ in range(4):
        placement.note_result(target, failed=True, now=1.0)
    assert target_order(group, READ)[0] == "c"
    assert target_order(group, READ, now=12.0)[0] == "b"


def test_reads_do_not_leave_a_target_for_a_single_failure(group: Group) -> None:
    """Guards against moving all load for one lost reply among many."""
    target = group.targets["b"]
    for number in range(40):
        placement.note_result(target, failed=number == 20, now=1.0)
    assert target_order(group, READ)[0] == "b"


def test_a_group_whose_targets_all_fail_is_still_served(group: Group) -> None:
    """Guards against passing over every target of a group."""
    for target in group.targets.values():
        for _ in range(20):
            placement.note_result(target, failed=True, now=1.0)
    assert sorted(target_order(group, READ)) == ["a", "b", "c"]


def test_a_draining_replica_gets_no_statements(group: Group) -> None:
    """Guards against new work on a draining target."""
    target = group.targets["b"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    assert "b" not in target_order(group, READ)


def test_a_draining_primary_serves_until_shortly_before_its_end(group: Group) -> None:
    """Guards against an outage before the successor is primary, and against work after the end."""
    target = group.targets["a"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    target.draining_since = 10.0
    assert target_order(group, WRITE, now=16.0) == ["a"]
    assert target_order(group, WRITE, now=17.0) == []


def test_an_unresponsive_target_is_avoided_for_a_while(group: Group) -> None:
    """Guards against sending statements to a primary that no longer answers."""
    group.targets["a"].avoid_until = 2.0
    assert target_order(group, WRITE, now=1.9) == []
    assert target_order(group, WRITE, now=2.0) == ["a"]


def test_a_lost_reply_is_detected_within_the_latency_objective(group: Group) -> None:
    """Guards against a read that waits for a lost reply until its latency objective is missed."""
    assert placement.read_attempt_timeout(group.targets["b"], now=1.0) < 0.15


def test_reads_at_a_slow_target_are_repeated_late(group: Group) -> None:
    """Guards against repeated reads doubling the load of targets that are already slow."""
    for _ in range(20):
        placement.note_latency(group.targets["b"], 0.1, now=1.0)
    assert (
        placement.read_attempt_timeout(group.targets["b"], now=1.0)
        == placement.ATTEMPT_TIMEOUT_MAX_S
    )
