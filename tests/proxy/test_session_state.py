"""Tests of session values and prepared statements on shared connections."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, PreparedStatement, Statement, Verb
from siskindale.proxy.decisions.session_state import (
    ConnectionValues,
    Prepare,
    Reset,
    SessionPositions,
    SessionValues,
    SetValue,
    preparation_steps,
    shared_name,
)

NAMES = st.sampled_from([b"a", b"b", b"c"])
SESSIONS = st.dictionaries(NAMES, st.sampled_from([b"1", b"2"]))
SHAPES = st.dictionaries(
    NAMES,
    st.builds(PreparedStatement, st.sampled_from(Access), st.sampled_from([b"x", b"y"])),
    min_size=1,
)


def execute_statement(name: bytes) -> Statement:
    return Statement(b"1", Verb.EXECUTE, b"", name, b"item")


SESSION_LISTS = st.lists(st.tuples(SESSIONS, SHAPES), min_size=1, max_size=12)


@attrs.define
class ModelTarget:
    """What a target has on a connection."""

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: dict[bytes, PreparedStatement] = attrs.field(factory=dict)

    def carry_out(self, step: Reset | SetValue | Prepare) -> None:
        """Does what a step says."""
        if isinstance(step, Reset):
            self.values.clear()
            self.prepared.clear()
        elif isinstance(step, SetValue):
            self.values[step.name] = step.value
        else:
            self.prepared[step.name] = step.prepared


def check_flights(
    sessions: list[tuple[dict[bytes, bytes], dict[bytes, PreparedStatement]]],
    data: st.DataObject,
    refusing: bool,
) -> None:
    """Sends the steps of each session to a target, which may refuse them from one step on.

    After a flight that was not refused, the target must have exactly the session's values, and the
    shared name must refer to the session's statement.
    """
    connection, target = ConnectionValues(), ModelTarget()
    for session_values, statements in sessions:
        name = data.draw(st.sampled_from(sorted(statements)))
        steps = preparation_steps(
            connection, SessionValues(session_values, statements), execute_statement(name)
        )
        accepted = data.draw(st.integers(0, len(steps))) if refusing else len(steps)
        for step in steps[:accepted]:
            target.carry_out(step)
            connection.record(step)
        if accepted == len(steps):
            assert target.values == session_values
            assert target.prepared[shared_name(statements[name])] == statements[name]


@given(SESSION_LISTS, st.data())
def test_a_connection_has_the_state_of_each_session_that_uses_it(
    sessions: list[tuple[dict[bytes, bytes], dict[bytes, PreparedStatement]]], data: st.DataObject
) -> None:
    """Guards against running with the values or prepared statements of an earlier session."""
    check_flights(sessions, data, refusing=False)


@given(SESSION_LISTS, st.data())
def test_refused_steps_do_not_count_as_done(
    sessions: list[tuple[dict[bytes, bytes], dict[bytes, PreparedStatement]]], data: st.DataObject
) -> None:
    """Guards against a statement that runs without what an earlier flight was refused."""
    check_flights(sessions, data, refusing=True)


def test_equal_statements_are_prepared_once() -> None:
    """Guards against preparing the same statement again for each client's own name."""
    connection = ConnectionValues()
    prepared = PreparedStatement(Access.READ, b"x")
    first = preparation_steps(
        connection, SessionValues({}, {b"a": prepared}), execute_statement(b"a")
    )
    for step in first:
        connection.record(step)
    second = preparation_steps(
        connection, SessionValues({}, {b"b": prepared}), execute_statement(b"b")
    )
    assert first == [Prepare(shared_name(prepared), prepared)]
    assert second == []


def test_only_new_names_count_against_the_limit() -> None:
    """Guards against a full session that cannot overwrite one of its values."""
    values = SessionValues({b"a": b"1"}, {b"s": PreparedStatement(Access.READ, b"x")})
    assert not values.adds_to(Statement(b"1", Verb.SET, b"", b"a", b"2"))
    assert values.adds_to(Statement(b"1", Verb.SET, b"", b"b", b"2"))
    assert not values.adds_to(Statement(b"1", Verb.PREPARE, b"", b"s", b"y", Access.READ))
    assert not values.adds_to(Statement(b"1", Verb.DEALLOCATE, b"", b"t"))
    assert values.count == 2


def test_the_position_of_a_commit_is_kept_for_each_group() -> None:
    """Guards against a commit that is forgotten, or taken for one of another group's log."""
    positions = SessionPositions()
    positions.record_commit("north", LogPosition(1, 200))
    positions.record_commit("south", LogPosition(1, 3))
    assert positions.of("north") == LogPosition(1, 200)
    assert positions.of("south") == LogPosition(1, 3)
    assert positions.of("west") is None
