"""State that the parts of the session proxy share: groups, targets and waiting statements."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs
from gevent.event import AsyncResult

from siskindale.models.catalog import GroupLimits, RegistrationState, TargetRegistration
from siskindale.models.group import LogPosition, Role
from siskindale.proxy.decisions.balancing import ReportedLoad, RunningAverage
from siskindale.proxy.decisions.freshness import Freshness

if TYPE_CHECKING:
    from siskindale.proxy.connection import TargetConnection
    from siskindale.proxy.decisions.fairness import RecentWork

# Expected duration of a statement at a target that has not served any yet.
INITIAL_LATENCY_S = 0.012


@attrs.define(eq=False)
class Target:
    """A target and the connections of this VM to it; times are of the suspend-aware clock.

    `failure_share`: share of its latest statements that failed or got no reply, as of
    `failure_noted_at`.
    `draining_since`: when the target was last known not to be draining; if it was draining already
    when this VM started (not `drain_observed`), the earliest time that is known.
    `missing_since`: when this VM learned that the registration is gone.
    `full_at`: when the target last refused a connection because it had none free.
    `silent_since`: since when statements have been waiting without any reply.
    `yield_until`: until when this VM leaves connections to a VM that has none.
    `idle_transaction_count`: how many of the connections in flight belong to idle transactions.
    `average_load`: average number of statements that this VM runs there.
    `reported_loads`: the same of other VMs that own its connections, by their names.
    `control_waiters`: statements of the proxy itself that wait for a connection.
    `opening_workspaces`: for which workspaces connections are being opened.
    `bound_connections`: open connections by workspace, where each one serves a single workspace.
    `use_intervals`: when each workspace last ran a statement, and its usual interval in seconds.
    `lacking_position`: log position for which the target refused a read; its log is assumed to lack
    it until `lacking_until`.
    """

    entry: TargetRegistration
    idle_connections: list[TargetConnection] = attrs.field(factory=list)
    open_count: int = 0
    opening_count: int = 0
    in_flight: int = 0
    idle_transaction_count: int = 0
    latency_s: float = INITIAL_LATENCY_S
    latency_measured_at: float = 0.0
    failure_share: float = 0.0
    failure_noted_at: float = 0.0
    silent_since: float | None = None
    avoid_until: float = 0.0
    next_open_at: float = 0.0
    full_at: float | None = None
    yield_until: float = 0.0
    lacking_position: LogPosition | None = None
    lacking_until: float = 0.0
    draining_since: float | None = None
    drain_observed: bool = True
    missing_since: float | None = None
    average_load: RunningAverage = attrs.field(factory=RunningAverage)
    reported_loads: dict[str, ReportedLoad] = attrs.field(factory=dict)
    control_waiters: list[AsyncResult] = attrs.field(factory=list)
    opening_workspaces: list[str] = attrs.field(factory=list)
    bound_connections: dict[str, list[TargetConnection]] = attrs.field(factory=dict)
    use_intervals: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    connection_refused: bool = False
    closed: bool = False

    @property
    def id(self) -> str:
        """Id under which the target registers itself."""
        return self.entry.id

    @property
    def running_count(self) -> int:
        """Number of statements of this VM that the target is running or has queued."""
        return self.in_flight - self.idle_transaction_count

    def connections_of(self, workspace: str) -> Sequence[TargetConnection]:
        """Returns the open connections of a workspace."""
        return self.bound_connections.get(workspace, ())

    @property
    def leaving(self) -> bool:
        """Whether the target is draining or closed, so that it takes no new work."""
        return self.closed or self.entry.state is RegistrationState.DRAINING


@attrs.define
class Leadership:
    """What this VM knows of the primary of a group.

    `primary_id`: id of the target that confirmed at `confirmed_at` that it is the primary; empty
    while the primary is unknown.
    `lost_since`, `connection_refused`: set while this VM cannot reach the primary, and whether the
    primary refuses connections.
    `pending_primary_id`: id of a target whose promotion the platform has accepted, else empty.
    """

    primary_id: str = ""
    confirmed_at: float = 0.0
    lost_since: float | None = None
    connection_refused: bool = False
    pending_primary_id: str = ""


@attrs.frozen
class Need:
    """What a statement requires of the target that runs it.

    With `min_position`, any target whose log has that position may run it, otherwise only the
    primary. After `objective_at` its reply is late, after `deadline` useless. It needs a connection
    in the name of `workspace`.
    """

    min_position: LogPosition | None
    priority: int
    deadline: float
    primary_only: bool
    objective_at: float
    workspace: str = ""


@attrs.define(eq=False)
class Waiter:
    """A statement that waits for a connection; `result` is set when it has one."""

    need: Need
    excluded: set[str]
    result: AsyncResult


@attrs.define(eq=False)
class Group:
    """A group of targets, with its primary, freshness samples and waiting statements.

    `recent_work` is what each workspace has used of its targets.
    """

    name: str
    limits: GroupLimits
    targets: dict[str, Target] = attrs.field(factory=dict)
    leadership: Leadership = attrs.field(factory=Leadership)
    freshness: Freshness = attrs.field(factory=Freshness)
    waiters: list[Waiter] = attrs.field(factory=list)
    recent_work: dict[str, RecentWork] = attrs.field(factory=dict)

    @property
    def primary(self) -> Target | None:
        """The target that this VM uses as the primary, if it is known."""
        return self.targets.get(self.leadership.primary_id)

    def registered_primary(self) -> Target | None:
        """Returns the target that last registered itself as the primary, if any did.

        A target that is not leaving is preferred.
        """
        registered = [t for t in self.targets.values() if t.entry.role is Role.PRIMARY]
        return max(registered, key=lambda t: (not t.leaving, t.entry.started_ms), default=None)
