"""Session values and prepared statements that a connection must have before a statement runs."""

from collections.abc import Iterator

import attrs
import xxhash

from siskindale.models.group import LogPosition
from siskindale.models.statements import Access, PreparedStatement, Statement, Verb


@attrs.define
class SessionValues:
    """Values that a client has set in its session, and prepared statements by its own names."""

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: dict[bytes, PreparedStatement] = attrs.field(factory=dict)

    @property
    def count(self) -> int:
        """Number of values and prepared statements together."""
        return len(self.values) + len(self.prepared)

    def adds_to(self, statement: Statement) -> bool:
        """Returns whether a statement that sets or prepares uses a name that is not in use yet."""
        if statement.verb is Verb.SET:
            return statement.name not in self.values
        return statement.verb is Verb.PREPARE and statement.name not in self.prepared

    def access_of(self, statement: Statement) -> Access | None:
        """Returns whether a statement reads or writes, None if its prepared name is unknown."""
        if statement.verb is not Verb.EXECUTE:
            return statement.access
        prepared = self.prepared.get(statement.name)
        return None if prepared is None else prepared.access


@attrs.define
class SessionPositions:
    """Positions of a session's last commit in each group that its route has led to.

    Positions of two groups belong to different logs and cannot be compared.
    """

    _by_group: dict[str, LogPosition] = attrs.field(factory=dict)

    def of(self, group: str) -> LogPosition | None:
        """Returns the position that reads of the session in a group must see, if there is one."""
        return self._by_group.get(group)

    def record_commit(self, group: str, position: LogPosition | None) -> None:
        """Records the end of a group's log after a commit of the session."""
        if position is not None:
            self._by_group[group] = position


@attrs.define
class ConnectionValues:
    """Values that are set on a connection to a target, and prepared statements by shared names.

    Only what the target has confirmed is recorded. `uncertain` after a reply that contradicts the
    record, or that leaves open what is set; the connection must then serve no other statement.
    """

    values: dict[bytes, bytes] = attrs.field(factory=dict)
    prepared: set[bytes] = attrs.field(factory=set)
    uncertain: bool = False

    def record(self, step: "Reset | SetValue | Prepare") -> None:
        """Records a step that the target has confirmed."""
        if isinstance(step, Reset):
            self.values.clear()
            self.prepared.clear()
        elif isinstance(step, SetValue):
            self.values[step.name] = step.value
        else:
            self.prepared.add(step.name)


@attrs.frozen
class Reset:
    """Step that clears all values and prepared statements."""


@attrs.frozen
class SetValue:
    """Step that sets a session value."""

    name: bytes
    value: bytes


@attrs.frozen
class Prepare:
    """Step that prepares a statement under its shared name."""

    name: bytes
    prepared: PreparedStatement


def shared_name(prepared: PreparedStatement) -> bytes:
    """Returns the name of a prepared statement on connections; equal statements share it.

    The clients' own names may collide, and separate names per client would require preparing the
    same statement again for each client.
    """
    digest = xxhash.xxh3_64_hexdigest(prepared.access.value.encode() + b" " + prepared.shape)
    return b"p" + digest.encode()


def preparation_steps(
    connection: ConnectionValues, session: SessionValues, statement: Statement | None
) -> list[Reset | SetValue | Prepare]:
    """Returns the steps that bring a connection to the state of a session.

    Only a reset can clear values that the session does not have.
    """
    steps: list[Reset | SetValue | Prepare] = []
    if connection.values.keys() - session.values.keys():
        steps.append(Reset())
        connection = ConnectionValues()
    steps += _missing_values(connection, session)
    if statement is not None and statement.verb is Verb.EXECUTE:
        prepared = session.prepared[statement.name]
        name = shared_name(prepared)
        if name not in connection.prepared:
            steps.append(Prepare(name, prepared))
    return steps


def _missing_values(connection: ConnectionValues, session: SessionValues) -> Iterator[SetValue]:
    return (
        SetValue(name, value)
        for name, value in session.values.items()
        if connection.values.get(name) != value
    )
