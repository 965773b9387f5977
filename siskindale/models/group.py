"""Log positions, target states and primaries of database groups."""

import enum

import attrs


@attrs.frozen(order=True)
class LogPosition:
    """Position in the log of a group; ordered by term, then by position."""

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
    """Status that a target reports.

    `log` is the last durable entry of its log (term of that entry, position); reads see the log up
    to `applied_position`. `matched` is true once the log was matched with the primary of `term`.
    `voters`, `previous_voters` and `marker` (its position) come from the newest marker entry in the
    log: a term is writable once majorities of both voter sets hold the marker.
    `primary_heard_ms` is the time since the last message from its primary, in milliseconds; absent
    on a primary and on a target that follows none.
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
    """Primary of a group in a term, with the voters of that term."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


def majority(voters: int) -> int:
    """Returns the smallest number of targets that is a majority of `voters` targets."""
    return voters // 2 + 1
