"""Values and prepared statements that a connection needs before a statement of a session."""

from collections.abc import Iterator

import attrs
import xxhash

from siskindale.models.statements import Access, Prepared, Statement, Verb


@attrs.define
class SessionValues:
    """What a client has set in its session; prepared statements by the client's names."""

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: dict[bytes, Prepared] = attrs.field(factory=dict)

    def access_of(self, statement: Statement) -> Access | None:
        """Returns whether a statement reads or writes, None for an unknown prepared name."""
        if statement.verb is not Verb.EXECUTE:
            return statement.access
        prepared = self.prepared.get(statement.name)
        return None if prepared is None else prepared.access


@attrs.define
class ConnectionValues:
    """What is set on a connection to a target; prepared statements by shared names."""

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: set[bytes] = attrs.field(factory=set)


@attrs.frozen
class Reset:
    """Clear all values and prepared statements."""


@attrs.frozen
class SetValue:
    """Set a session value."""

    name: bytes
    value: bytes


@attrs.frozen
class Prepare:
    """Prepare a statement under a shared name."""

    name: bytes
    prepared: Prepared


def shared_name(prepared: Prepared) -> bytes:
    """Returns the name of a prepared statement on connections, the same for equal ones.

    Names of clients collide, and a name per client would mean preparing again for each of them.
    """
    digest = xxhash.xxh3_64_hexdigest(prepared.access.value.encode() + b" " + prepared.shape)
    return b"p" + digest.encode()


def preparation(
    connection: ConnectionValues, session: SessionValues, statement: Statement | None
) -> list[Reset | SetValue | Prepare]:
    """Returns the steps that make a connection fit a session, and records them as done.

    Values that the session does not have can only be cleared by a reset.
    """
    steps: list[Reset | SetValue | Prepare] = []
    if connection.values.keys() - session.values.keys():
        steps.append(Reset())
        connection.values.clear()
        connection.prepared.clear()
    steps += _missing_values(connection, session)
    connection.values.update(session.values)
    if statement is not None and statement.verb is Verb.EXECUTE:
        prepared = session.prepared[statement.name]
        name = shared_name(prepared)
        if name not in connection.prepared:
            steps.append(Prepare(name, prepared))
            connection.prepared.add(name)
    return steps


def _missing_values(connection: ConnectionValues, session: SessionValues) -> Iterator[SetValue]:
    return (
        SetValue(name, value)
        for name, value in session.values.items()
        if connection.values.get(name) != value
    )
