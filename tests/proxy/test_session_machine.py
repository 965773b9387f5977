"""Model of a session whose route moves between groups, with late replicas and promotions."""

from collections.abc import Callable
from unittest.mock import patch

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from siskindale.models.catalog import Consistency, Route
from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import freshness
from siskindale.proxy.decisions.freshness import Freshness, required_position
from siskindale.proxy.decisions.session_state import SessionPositions

GROUPS = ("north", "south")
REPLICAS = st.integers(0, 1)
MAX_STALENESS_S = 1.5


@attrs.define
class ModelGroup:
    """Logs of a primary and two replicas: positions, and whether the session made the commit."""

    term: int = 1
    primary: list[tuple[LogPosition, bool]] = attrs.field(factory=list)
    replicas: list[list[tuple[LogPosition, bool]]] = attrs.field(factory=lambda: [[], []])
    samples: Freshness = attrs.field(factory=Freshness)

    @property
    def end(self) -> LogPosition:
        """End of the primary's log."""
        return self.primary[-1][0] if self.primary else LogPosition(1, 0)

    def commit(self, own: bool) -> LogPosition:
        """Appends a commit to the primary's log."""
        position = LogPosition(self.term, self.end.position + 1)
        self.primary.append((position, own))
        return position


def own_commits(log: list[tuple[LogPosition, bool]]) -> set[LogPosition]:
    """Returns the positions of the session's commits in a log."""
    return {position for position, own in log if own}


class SessionMachine(RuleBasedStateMachine):
    """One session on a route that promises its own commits."""

    def __init__(self) -> None:
        super().__init__()
        self.groups = {name: ModelGroup() for name in GROUPS}
        self.route = self.build_route("north")
        self.positions = SessionPositions()
        self.now = 100.0

    @staticmethod
    def build_route(group: str) -> Route:
        return Route("r", "d", group, Consistency.SESSION, 0.8, 0.2, 1, MAX_STALENESS_S)

    @rule(group=st.sampled_from(GROUPS))
    def move_route(self, group: str) -> None:
        self.route = self.build_route(group)

    @rule(group=st.sampled_from(GROUPS), count=st.integers(1, 30))
    def commit_of_others(self, group: str, count: int) -> None:
        for _ in range(count):
            self.groups[group].commit(own=False)

    @rule()
    def commit_of_the_session(self) -> None:
        group = self.groups[self.route.group]
        self.positions.record_commit(self.route.group, group.commit(own=True))

    @rule(group=st.sampled_from(GROUPS))
    def confirm_primary(self, group: str) -> None:
        """A reply of the primary gives a sample of the end of its log."""
        self.groups[group].samples.add_sample(self.groups[group].end, self.now)

    @rule(group=st.sampled_from(GROUPS), replica=REPLICAS)
    def deliver(self, group: str, replica: int) -> None:
        self.groups[group].replicas[replica] = list(self.groups[group].primary)

    @rule(group=st.sampled_from(GROUPS), replica=REPLICAS)
    def promote(self, group: str, replica: int) -> None:
        """A replica leads the next term, which rolls back what it lacks."""
        model = self.groups[group]
        model.term += 1
        model.primary = list(model.replicas[replica])
        model.replicas = [log[: len(model.primary)] for log in model.replicas]

    @rule(seconds=st.floats(0.01, 1.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(replica=REPLICAS)
    def commit_here_and_elsewhere(self, replica: int) -> None:
        """The session commits here and, after its route has moved, in the other group."""
        here = self.route.group
        self.confirm_primary(here)
        self.deliver(here, replica)
        self.commit_of_the_session()
        self.move_route(next(name for name in GROUPS if name != here))
        self.commit_of_the_session()
        self.move_route(here)

    @rule(replica=REPLICAS)
    def read(self, replica: int) -> None:
        """A replica serves a read whose position it has, and then shows the session's commits."""
        group = self.groups[self.route.group]
        minimum = required_position(
            self.route, group.samples, self.positions.of(self.route.group), self.now
        )
        log = group.replicas[replica]
        held = {position for position, _ in log} | {LogPosition(1, 0)}
        if minimum is None or minimum not in held:
            return
        assert own_commits(log) >= own_commits(group.primary)


MACHINE_SETTINGS = settings(max_examples=300, stateful_step_count=25, deadline=None)
# Any failure will do: shrinking it would take minutes.
MUTATION_SETTINGS = settings(
    MACHINE_SETTINGS, phases=(Phase.generate,), report_multiple_bugs=False, print_blob=False
)


def test_a_session_sees_its_own_commits_in_every_group() -> None:
    """Guards against reads that miss a commit of the same session, in any order of events."""
    run_state_machine_as_test(SessionMachine, settings=MACHINE_SETTINGS)


def record_for_all_groups(
    positions: SessionPositions, _: str, position: LogPosition | None
) -> None:
    """Mutation: one position for all groups, as it was once."""
    for group in GROUPS:
        positions._by_group[group] = position  # type: ignore[assignment]


def record_nothing(_: SessionPositions, __: str, ___: LogPosition | None) -> None:
    """Mutation: the session's commits are forgotten."""


@pytest.mark.parametrize("mutation", [record_for_all_groups, record_nothing])
def test_the_model_rejects_a_weaker_record(mutation: Callable[..., None]) -> None:
    """Guards against a model that accepts any decision."""
    with patch.object(SessionPositions, "record_commit", mutation), pytest.raises(AssertionError):
        run_state_machine_as_test(SessionMachine, settings=MUTATION_SETTINGS)


def ignore_the_session(
    route: Route, samples: Freshness, _: LogPosition | None, arrived: float
) -> LogPosition | None:
    """Mutation: only the age of the data counts."""
    return freshness.required_position(route, samples, None, arrived)


def test_the_model_rejects_reads_by_age_alone() -> None:
    """Guards against a model that accepts any decision."""
    with (
        patch(f"{__name__}.required_position", ignore_the_session),
        pytest.raises(AssertionError),
    ):
        run_state_machine_as_test(SessionMachine, settings=MUTATION_SETTINGS)
