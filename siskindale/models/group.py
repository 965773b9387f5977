"""Positions and states of database groups."""

import enum

import attrs


@attrs.frozen(order=True)
class LogPosition:
    """Place in the log of a group; compared by term first, then by position."""

    term: int = 0
    position: int = 0

    def __str__(self) -> str:
        return f"{self.term}.{self.position}"


class Role(enum.StrEnum):
    """Role of a target within its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@attrs.frozen
class TargetStatus:
    """What a target says of itself in one answer.

    `log` is the last entry its log holds durably (term of that entry, position); `applied_position`
    is what its reads see. `matched` is true once the log was matched with the primary of `term`.
    `voters`, `previous_voters` and `marker` (its place) come from the newest marker entry in the
    log: a term is writable once majorities of both voter sets hold the marker.
    `primary_heard_ms` is the time since the target last heard its primary, in milliseconds;
    absent on a primary and on a target that follows none.
    """

    name: str
    term: int
    role: Role
    log: LogPosition
    applied_position: int
    matched: bool
    voters: tuple[str, ...]
    previous_voters: tuple[str, ...]
    marker: LogPosition
    primary: str | None = None
    primary_heard_ms: float | None = None


@attrs.frozen
class GroupView:
    """A group's primary at a term, with the voters bound to that term."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


def majority(voters: int) -> int:
    """Returns the smallest number of targets that is more than half of `voters`."""
    return voters // 2 + 1
