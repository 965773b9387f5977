"""Rows that the systems of the session proxy read and change."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import attrs
from gevent.event import AsyncResult

from siskindale.models.catalog import GroupLimits, TargetEntry, TargetState
from siskindale.models.group import LogPosition, Role
from siskindale.proxy.decisions.freshness import Freshness

if TYPE_CHECKING:
    from siskindale.proxy.connection import TargetConnection

# Expected duration of a statement at a target that has served none yet.
INITIAL_LATENCY_S = 0.012


@attrs.define(eq=False)
class Target:
    """A target and the connections of this VM to it; times are of the suspend-aware clock.

    `draining_since` is when the target was last known not to leave, `missing_since` when this VM
    learned that its registration is gone. `full_at` is when the target last refused a connection
    for lack of room, `silent_since` since when statements wait without any reply, `yield_until`
    until when this VM leaves connections to a VM that has none. Until `lacks_until`, the log is
    taken to lack the position `lacks`, for which the target refused a read.
    """

    entry: TargetEntry
    idle: list[TargetConnection] = attrs.field(factory=list)
    open_count: int = 0
    opening: int = 0
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    measured_at: float = 0.0
    silent_since: float | None = None
    avoid_until: float = 0.0
    next_open_at: float = 0.0
    full_at: float | None = None
    yield_until: float = 0.0
    lacks: LogPosition | None = None
    lacks_until: float = 0.0
    draining_since: float | None = None
    missing_since: float | None = None
    refused: bool = False
    closed: bool = False

    @property
    def id(self) -> str:
        """Id under which the target registers itself."""
        return self.entry.id

    @property
    def leaving(self) -> bool:
        """Whether the target takes no new work."""
        return self.closed or self.entry.state is TargetState.DRAINING


@attrs.define
class Leadership:
    """What is known of the primary of a group.

    `target` is the id of the target that was the primary at `proven_at`, empty while unknown.
    `lost_since` is set while this VM cannot reach it.
    """

    target: str = ""
    proven_at: float = 0.0
    lost_since: float | None = None
    refused: bool = False
    ordered: str = ""


@attrs.frozen
class Need:
    """What a statement needs of a target.

    With `minimum`, any target whose log has that position will do, otherwise only the primary.
    """

    minimum: LogPosition | None
    priority: int
    deadline: float
    primary_only: bool


@attrs.define(eq=False)
class Waiter:
    """A statement that waits for a connection; `result` is set when it has one."""

    need: Need
    excluded: set[str]
    arrived: float
    result: AsyncResult


@attrs.define(eq=False)
class Group:
    """A group of targets with its primary, freshness samples and waiting statements."""

    name: str
    limits: GroupLimits
    targets: dict[str, Target] = attrs.field(factory=dict)
    leadership: Leadership = attrs.field(factory=Leadership)
    freshness: Freshness = attrs.field(factory=Freshness)
    waiters: list[Waiter] = attrs.field(factory=list)

    @property
    def primary(self) -> Target | None:
        """The target that is taken for the primary."""
        return self.targets.get(self.leadership.target)

    def registered_primary(self) -> Target | None:
        """Returns the target that registered itself last as the primary, if any did."""
        claims = [t for t in self.targets.values() if t.entry.role is Role.PRIMARY]
        return max(claims, key=lambda t: (not t.leaving, t.entry.started_ms), default=None)


def usable(targets: Iterable[Target]) -> list[Target]:
    """Returns the targets that are not known to have ended."""
    return [target for target in targets if not target.closed]
