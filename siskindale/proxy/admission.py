"""Admits operations of workspaces within their quotas, at the homes of the workspaces."""

import heapq
from collections import defaultdict

import attrs

from siskindale.context import Clock
from siskindale.models.catalog import Workspace
from siskindale.models.gossip import WorkspaceDemand
from siskindale.models.statements import ErrorCode, Reply
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.decisions import quotas
from siskindale.proxy.decisions.quotas import Bucket, Demand, DemandView, Quota
from siskindale.proxy.state import ProxyState
from siskindale.runtime.logs import logger

# A home adjusts its part of a quota to the known demands at this interval.
ADJUST_INTERVAL_S = 0.5
# Demands in one report; those that are left out count as equal parts.
MAX_REPORTED = 200
LOG_INTERVAL_S = 1.0


@attrs.define(eq=False)
class _HomeRow:
    """What this VM knows of one workspace in one group for which it is the home."""

    bucket: Bucket
    demand: Demand
    adjusted_at: float
    refused_count: int = 0
    logged_at: float = 0.0


class Admission:
    """Counts the operations of workspaces at this VM, and refuses those beyond a quota."""

    def __init__(self, settings: ProxySettings, clock: Clock, state: ProxyState) -> None:
        self._settings = settings
        self._clock = clock
        self._state = state
        self._homes: dict[tuple[str, str], _HomeRow] = {}
        self._views: defaultdict[str, DemandView] = defaultdict(DemandView)

    def refusal(self, group: str, workspace_name: str, request_id: bytes) -> Reply | None:
        """Counts an operation; returns its refusal if it exceeds the quota of its workspace."""
        if not workspace_name:
            return None
        workspace = self._state.workspace(workspace_name)
        if workspace is None or workspace.rate_per_s is None:
            return None
        now = self._clock.monotonic()
        row = self._adjusted_row(group, workspace, now)
        row.demand.add(now)
        if row.bucket.take(now):
            return None
        metrics.CALLERS_REFUSED.labels("quota").inc()
        self._log_refusal(group, workspace_name, row, request_id, now)
        return Reply(
            error=ErrorCode.OVERLOADED,
            detail=b"quota, retry after %d ms" % (1000 * row.bucket.wait_s() + 1),
        )

    def put_back(self, group: str, workspace: str) -> None:
        """Takes back the count of an operation that was refused without running."""
        row = self._homes.get((group, workspace))
        if row is not None:
            row.bucket.put_back()

    def report(self) -> tuple[WorkspaceDemand, ...]:
        """Returns the demands for which this VM is the home, for the other homes."""
        now = self._clock.monotonic()
        demands = (
            WorkspaceDemand(group, name, per_s)
            for name, view in self._views.items()
            for group, per_s in view.report(now).items()
        )
        return tuple(heapq.nlargest(MAX_REPORTED, demands, key=lambda demand: demand.per_s))

    def note_report(self, demands: tuple[WorkspaceDemand, ...]) -> None:
        """Records the demands that another VM has reported."""
        now = self._clock.monotonic()
        for demand in demands:
            self._views[demand.workspace].hear(demand.group, demand.per_s, now)

    def _adjusted_row(self, group: str, workspace: Workspace, now: float) -> _HomeRow:
        row = self._homes.get((group, workspace.name))
        if row is None:
            demand = self._views[workspace.name].own[group] = Demand(updated_at=now)
            row = _HomeRow(Bucket(self._quota(group, workspace, now), now), demand, now)
            self._homes[group, workspace.name] = row
        # Another home may have served the group meanwhile.
        self._views[workspace.name].own.setdefault(group, row.demand)
        if now - row.adjusted_at >= ADJUST_INTERVAL_S:
            row.adjusted_at = now
            row.bucket.set_quota(self._quota(group, workspace, now), now)
        return row

    def _quota(self, group: str, workspace: Workspace, now: float) -> Quota:
        group_count = len(self._state.groups)
        part = self._views[workspace.name].part(workspace, group, group_count, now)
        return quotas.part_of(workspace, part, group_count, self._settings)

    def _log_refusal(
        self, group: str, workspace: str, row: _HomeRow, request_id: bytes, now: float
    ) -> None:
        """Logs the first refusal in each interval, with the number of those before."""
        row.refused_count += 1
        if now - row.logged_at < LOG_INTERVAL_S:
            return
        logger().info(
            "quota-exceeded",
            request=request_id.decode(errors="replace"),
            group=group,
            workspace=workspace,
            admitted_per_s=round(row.bucket.quota.rate_per_s, 2),
            asked_per_s=round(row.demand.at(now), 2),
            refused=row.refused_count,
        )
        row.refused_count, row.logged_at = 0, now
