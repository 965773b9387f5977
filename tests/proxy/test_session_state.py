"""Values and prepared statements on shared connections."""

from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.statements import Access, PreparedStatement, Statement, Verb
from siskindale.proxy.decisions.session_state import (
    ConnectionValues,
    Prepare,
    Reset,
    SessionValues,
    SetValue,
    preparation,
    shared_name,
)

NAMES = st.sampled_from([b"a", b"b", b"c"])
SESSIONS = st.dictionaries(NAMES, st.sampled_from([b"1", b"2"]))
SHAPES = st.dictionaries(
    NAMES,
    st.builds(PreparedStatement, st.sampled_from(Access), st.sampled_from([b"x", b"y"])),
    min_size=1,
)


def execution(name: bytes) -> Statement:
    return Statement(b"1", Verb.EXECUTE, b"", name, b"item")


@given(st.lists(st.tuples(SESSIONS, SHAPES), min_size=1, max_size=12), st.data())
def test_a_connection_fits_each_session_that_uses_it(
    sessions: list[tuple[dict[bytes, bytes], dict[bytes, PreparedStatement]]], data: st.DataObject
) -> None:
    """Guards against values or prepared statements of the session before.

    The steps are applied to a model of the target; then it must have exactly the session's values,
    and the shared name must stand for the session's statement.
    """
    connection = ConnectionValues()
    values: dict[bytes, bytes] = {}
    prepared: dict[bytes, PreparedStatement] = {}
    for wanted, statements in sessions:
        name = data.draw(st.sampled_from(sorted(statements)))
        for step in preparation(connection, SessionValues(wanted, statements), execution(name)):
            if isinstance(step, Reset):
                values.clear()
                prepared.clear()
            elif isinstance(step, SetValue):
                values[step.name] = step.value
            else:
                prepared[step.name] = step.prepared
        assert values == wanted
        assert prepared[shared_name(statements[name])] == statements[name]


def test_equal_statements_are_prepared_once() -> None:
    """Guards against preparing again for each client with a name of its own."""
    connection = ConnectionValues()
    prepared = PreparedStatement(Access.READ, b"x")
    first = preparation(connection, SessionValues({}, {b"a": prepared}), execution(b"a"))
    second = preparation(connection, SessionValues({}, {b"b": prepared}), execution(b"b"))
    assert first == [Prepare(shared_name(prepared), prepared)]
    assert second == []
