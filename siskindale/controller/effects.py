"""Effects that the systems return and the program carries out."""

import enum
from typing import Any

import attrs

from siskindale.models.bundle import Target
from siskindale.store.interface import Condition, Write


class Operation(enum.StrEnum):
    """Request to a target."""

    STATUS = "status"
    WAIT = "wait"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"


@attrs.frozen
class TargetCall:
    """Request to a target; its answer goes to the promotion in `promotion`, if not 0.

    `position` is used by `WAIT`, `voters` by `PROMOTE`, `primary` by `FOLLOW`.
    """

    group: str
    target: Target
    operation: Operation
    timeout_s: float
    term: int = 0
    position: int = 0
    voters: tuple[str, ...] = ()
    primary: Target | None = None
    promotion: int = 0


@attrs.frozen
class ReadTerms:
    """Reads the row of reserved terms of a group."""

    group: str


@attrs.frozen
class CommitTerms:
    """Writes the row of reserved terms; grants `terms` when it stands under `reservation`."""

    group: str
    reservation: str
    terms: tuple[int, ...]
    condition: Condition
    write: Write


@attrs.frozen
class AskSight:
    """Asks another controller whether it has lost the primary."""

    group: str
    vm: str
    url: str
    term: int
    primary: str


@attrs.frozen
class AnnouncePrimary:
    """Tells pools and controllers of a new primary."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


@attrs.frozen
class Record:
    """Decision to log, and to count where `event` is a counted one."""

    event: str
    group: str
    fields: dict[str, Any] = attrs.field(factory=dict)


Effect = TargetCall | ReadTerms | CommitTerms | AskSight | AnnouncePrimary | Record
