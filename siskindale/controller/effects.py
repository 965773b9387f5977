"""Effects that the systems return and the program executes."""

import enum
from typing import Any

import attrs

from siskindale.models.bundle import Target
from siskindale.store.interface import Condition, Write


class Operation(enum.StrEnum):
    """Kind of a request to a target."""

    STATUS = "status"
    WAIT = "wait"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"


@attrs.frozen
class TargetCall:
    """Request to a target.

    `promotion_term` is the term of the promotion that the call belongs to, 0 if it belongs to none.
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
    promotion_term: int = 0


@attrs.frozen
class ReadTerms:
    """Reads the row of reserved terms of a group."""

    group: str


@attrs.frozen
class CommitTerms:
    """Writes the row of reserved terms; once committed, `reservation_id` has reserved `terms`."""

    group: str
    reservation_id: str
    terms: tuple[int, ...]
    condition: Condition
    write: Write


@attrs.frozen
class AskPeer:
    """Asks another controller whether it has lost the primary."""

    group: str
    vm: str
    url: str
    term: int
    primary: str


@attrs.frozen
class AnnouncePrimary:
    """Notifies pools and controllers of a new primary."""

    group: str
    term: int
    primary: str
    voters: tuple[str, ...]


@attrs.frozen
class LogEvent:
    """Logs a decision and updates the metrics of that event."""

    name: str
    group: str
    fields: dict[str, Any] = attrs.field(factory=dict)


Effect = TargetCall | ReadTerms | CommitTerms | AskPeer | AnnouncePrimary | LogEvent
