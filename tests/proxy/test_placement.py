"""Choice of a target for a statement, under the loads that make it matter."""

import attrs

from siskindale.models.catalog import RegistrationState
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import placement
from siskindale.proxy.tables import Group, Need

READ = Need(LogPosition(1, 1), 1, 9.0, primary_only=False)
WRITE = Need(None, 1, 9.0, primary_only=True)
DRAIN_S = 7.0


def order(group: Group, need: Need, now: float = 1.0, domain: str = "west") -> list[str]:
    found = placement.candidates(group, need, (), domain, now, DRAIN_S)
    return [target.id for target in found]


def test_writes_go_to_the_primary_only(group: Group) -> None:
    """Guards against a write at a replica."""
    assert order(group, WRITE) == ["a"]


def test_reads_stay_in_their_failure_domain(group: Group) -> None:
    """Guards against dear bytes between failure domains while the own target is free."""
    assert order(group, READ)[0] == "b"


def test_reads_leave_a_target_with_a_queue(group: Group) -> None:
    """Guards against a burst of one failure domain that waits at its two slots."""
    group.targets["b"].in_flight = 4
    assert order(group, READ)[0] == "c"


def test_reads_avoid_a_slow_target_and_return_to_it(group: Group) -> None:
    """Guards against a slow replica that holds reads, and one that is never tried again."""
    for _ in range(20):
        placement.note_latency(group.targets["b"], 0.1, now=1.0)
    assert order(group, READ)[0] == "c"
    assert order(group, READ, now=20.0)[0] == "b"


def test_a_leaving_replica_gets_nothing(group: Group) -> None:
    """Guards against new work at a target that ends."""
    target = group.targets["b"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    assert "b" not in order(group, READ)


def test_a_leaving_primary_serves_until_shortly_before_its_end(group: Group) -> None:
    """Guards against an outage until the successor leads, and against work after the end."""
    target = group.targets["a"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    target.draining_since = 10.0
    assert order(group, WRITE, now=16.0) == ["a"]
    assert order(group, WRITE, now=17.0) == []


def test_a_silent_target_is_left_alone_until_it_answers(group: Group) -> None:
    """Guards against statements that are sent to a primary that went dark."""
    group.targets["a"].avoid_until = 2.0
    assert order(group, WRITE, now=1.9) == []
    assert order(group, WRITE, now=2.0) == ["a"]


def test_a_lost_reply_is_noticed_within_the_objective(group: Group) -> None:
    """Guards against a read that waits for a lost reply until its objective has passed."""
    assert placement.repeat_after(group.targets["b"], now=1.0) < 0.15


def test_a_slow_target_is_not_given_the_same_read_twice(group: Group) -> None:
    """Guards against repetitions that double the load of targets that are slow already."""
    for _ in range(20):
        placement.note_latency(group.targets["b"], 0.1, now=1.0)
    assert placement.repeat_after(group.targets["b"], now=1.0) == placement.REPEAT_MAX_S
