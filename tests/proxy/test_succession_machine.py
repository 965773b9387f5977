"""Model of a group whose primary is replaced while commits go on and replicas fail in many ways."""

from collections.abc import Callable, Iterator
from unittest.mock import patch

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from siskindale.models.address import Address
from siskindale.models.catalog import GroupLimits, RegistrationState, TargetRegistration
from siskindale.models.group import LogPosition, Role
from siskindale.proxy.decisions import succession
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.tables import Group, Target

NAMES = ("a", "b", "c")
REPLICAS = st.sampled_from(NAMES)


@attrs.define
class ModelReplica:
    """A replica: how many commits it has received, and what keeps it from more or from answers."""

    received: int = 0
    deaf: bool = False
    stopped: bool = False
    silent: bool = False
    busy: bool = False


def build_group(synchronous: int) -> Group:
    """Returns a group of a primary and three replicas."""
    group = Group("g", GroupLimits(16, synchronous))
    for name in ("p", *NAMES):
        entry = TargetRegistration(
            name, "g", Address("127.0.0.1", 9), "d", 2, RegistrationState.READY, Role.REPLICA, 1, 1
        )
        group.targets[name] = Target(entry)
    group.leadership.primary_id = "p"
    return group


# What happens between two steps of a promotion: a commit, a delivery, or a change of a replica.
EVENTS = st.lists(
    st.one_of(
        st.just(("commit", "a", True)),
        st.tuples(st.just("deliver"), REPLICAS, st.just(True)),
        st.tuples(st.sampled_from(["deaf", "silent", "busy"]), REPLICAS, st.booleans()),
    ),
    max_size=4,
)
# Before, between and after the steps: an answer of each replica, a stop of each, order, lead.
STEPS = 2 * len(NAMES) + 2


class SuccessionMachine(RuleBasedStateMachine):
    """A group with commits, deliveries and failures before, between and after the steps.

    `acknowledged` is the newest acknowledged commit, `committed` the newest one of the primary,
    which goes on until another target leads.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replicas = {name: ModelReplica() for name in NAMES}
        self.committed = self.acknowledged = self.lost = 0
        self.synchronous = 1
        self.group = build_group(1)
        self.logs: dict[str, ReplicaLog] = {}

    @initialize(synchronous=st.sampled_from([1, 2, 3]))
    def choose_synchronous_replicas(self, synchronous: int) -> None:
        self.synchronous = synchronous
        self.group = build_group(synchronous)

    @rule(events=EVENTS)
    def happen(self, events: list[tuple[str, str, bool]]) -> None:
        """Events while nobody replaces the primary."""
        for kind, name, value in events:
            if kind == "commit":
                self.committed += 1
            elif kind == "deliver":
                self.deliver(name)
            else:
                setattr(self.replicas[name], kind, value)

    def deliver(self, name: str) -> None:
        """A replica receives all commits; those that enough have received are acknowledged."""
        replica = self.replicas[name]
        if not replica.deaf and not replica.stopped:
            replica.received = self.committed
        holders = sorted((r.received for r in self.replicas.values()), reverse=True)
        self.acknowledged = max(self.acknowledged, holders[self.synchronous - 1])

    def answer(self, name: str, stopped: bool = False) -> None:
        """Records what a replica tells, unless it is silent; a busy one tells a lower bound."""
        replica = self.replicas[name]
        if replica.silent:
            return
        exact = stopped or not replica.busy
        received = replica.received if exact else replica.received // 2
        self.logs[name] = ReplicaLog(LogPosition(1, received), 1, exact, stopped)

    @rule(gaps=st.tuples(*[EVENTS] * STEPS), lost_answers=st.sets(REPLICAS, max_size=1))
    def replace(
        self, gaps: tuple[list[tuple[str, str, bool]], ...], lost_answers: set[str]
    ) -> None:
        """Replaces the primary, with events between the steps."""
        gap = iter(gaps)
        self.logs = {}
        for name in NAMES:
            self.answer(name)
            self.happen(next(gap))
        ranked = succession.rank_successors(self.group, self.logs)
        if ranked and self.stop_others(ranked[0], gap, lost_answers):
            self.happen(next(gap))
            self.lead(ranked[0])
        for replica in self.replicas.values():
            replica.stopped = False

    def stop_others(
        self,
        successor: Target,
        gap: Iterator[list[tuple[str, str, bool]]],
        lost_answers: set[str],
    ) -> bool:
        """Stops the other replicas; returns whether the successor may lead."""
        for name in NAMES:
            if name != successor.id and not self.replicas[name].silent:
                self.replicas[name].stopped = True
                if name not in lost_answers:
                    self.answer(name, stopped=True)
            self.happen(next(gap))
        self.answer(successor.id)
        self.happen(next(gap))
        return not succession.may_lack_acknowledged(self.group, successor, self.logs)

    def lead(self, successor: Target) -> None:
        """Lets a target lead, which rolls back what it lacks."""
        received = self.replicas[successor.id].received
        self.lost = max(self.lost, self.acknowledged - received)
        for replica in self.replicas.values():
            replica.received = min(replica.received, received)
        self.committed, self.acknowledged = received, min(self.acknowledged, received)

    @invariant()
    def no_acknowledged_commit_is_lost(self) -> None:
        assert self.lost <= 0


MACHINE_SETTINGS = settings(max_examples=200, stateful_step_count=8, deadline=None)


# Any failure will do: shrinking it would take minutes.
MUTATION_SETTINGS = settings(
    MACHINE_SETTINGS, phases=(Phase.generate,), report_multiple_bugs=False, print_blob=False
)


def test_no_promotion_loses_an_acknowledged_commit() -> None:
    """Guards against the promotion of a replica that lacks commits, in any order of events."""
    run_state_machine_as_test(SuccessionMachine, settings=MACHINE_SETTINGS)


def takes_silence_for_agreement(log: ReplicaLog | None, position: LogPosition) -> bool:
    """Mutation: a replica that does not answer has nothing more."""
    return log is None or (log.exact and log.stopped and log.received <= position)


def takes_bounds_for_positions(log: ReplicaLog | None, position: LogPosition) -> bool:
    """Mutation: a busy replica has told the end of its log."""
    return log is not None and log.received <= position


def lets_others_receive(log: ReplicaLog | None, position: LogPosition) -> bool:
    """Mutation: the others go on receiving after they were asked."""
    return log is not None and log.exact and log.received <= position


def ignores_positions(log: ReplicaLog | None, position: LogPosition) -> bool:
    """Mutation: it does not matter what a stopped replica has."""
    return log is not None and log.exact and log.stopped


@pytest.mark.parametrize(
    "mutation",
    [
        takes_silence_for_agreement,
        takes_bounds_for_positions,
        lets_others_receive,
        ignores_positions,
    ],
)
def test_the_model_rejects_a_weaker_rule(
    mutation: Callable[[ReplicaLog | None, LogPosition], bool],
) -> None:
    """Guards against a model that accepts any decision."""
    with patch.object(succession, "_is_behind", mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(SuccessionMachine, settings=MUTATION_SETTINGS)


@pytest.mark.parametrize("synchronous", [1, 2, 3])
def test_a_successor_is_found_once_all_answer(synchronous: int) -> None:
    """Guards against a group that stays without a primary although every replica answers."""
    machine = SuccessionMachine()
    machine.choose_synchronous_replicas(synchronous)
    machine.happen([("commit", "a", True), ("deliver", "b", True)])
    for name in NAMES:
        machine.answer(name)
    successor = succession.rank_successors(machine.group, machine.logs)[0]
    assert successor.id == "b"
    assert machine.stop_others(successor, iter([[]] * STEPS), set())
