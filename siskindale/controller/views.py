"""Queries on a group's row that several systems share."""

from collections.abc import Collection

from siskindale.controller.tables import GroupRow, TargetRow
from siskindale.models.bundle import TargetState
from siskindale.models.group import LogPosition, Role, TargetStatus, majority


def has_majority(holders: Collection[str], voters: tuple[str, ...]) -> bool:
    """Whether the holders include a majority of the voters; true for an empty set of voters."""
    return not voters or len(set(holders) & set(voters)) >= majority(len(voters))


def holds(status: TargetStatus, at: LogPosition) -> bool:
    """Whether a status proves that the log holds the entry at `at`, a position of its own term."""
    return status.term == at.term and status.matched and status.log.position >= at.position


def newest_marker(row: GroupRow) -> TargetStatus | None:
    """Returns the status with the newest marker, None if no target has a marker."""
    with_marker = [s for s in row.statuses if s.marker.position > 0]
    return max(with_marker, key=lambda s: s.marker, default=None)


def voters(row: GroupRow) -> tuple[str, ...]:
    """Returns the voters of the newest marker, or those of the bundle before the first marker."""
    newest = newest_marker(row)
    return newest.voters if newest else row.group.voters


def primary_name(row: GroupRow) -> str:
    """Returns the primary of the highest term as reported by itself or a replica, else empty."""
    named = [
        s.name if s.role is Role.PRIMARY else s.primary or ""
        for s in row.statuses
        if s.term == row.highest_term and s.role is not Role.FENCED
    ]
    return next((name for name in named if name), "")


def answered_recently(row: TargetRow | None, now: float, limit_s: float) -> bool:
    """Whether the target has answered a request sent within the limit."""
    return row is not None and now - row.status_requested_at < limit_s


def serving_primary(row: GroupRow, now: float, limit_s: float) -> TargetStatus | None:
    """Returns the status of the highest term's primary if it has answered recently."""
    target = row.targets.get(primary_name(row))
    if target is None or target.status is None or not answered_recently(target, now, limit_s):
        return None
    status = target.status
    return status if status.role is Role.PRIMARY and status.term == row.highest_term else None


def responding_voters(row: GroupRow, now: float, limit_s: float) -> list[TargetRow]:
    """Returns the rows of the voters that have answered recently."""
    named = (row.targets.get(name) for name in voters(row))
    return [r for r in named if r is not None and answered_recently(r, now, limit_s)]


def update_committed_marker(row: GroupRow) -> None:
    """Sets `committed_marker` once majorities of both voter sets of the newest marker hold it."""
    newest = newest_marker(row)
    if newest is None or newest.marker <= row.committed_marker:
        return
    holders = [s.name for s in row.statuses if holds(s, newest.marker)]
    held_by_both = has_majority(holders, newest.voters) and has_majority(
        holders, newest.previous_voters
    )
    if held_by_both:
        row.committed_marker = newest.marker


def leaving_targets(row: GroupRow, platform: frozenset[str]) -> frozenset[str]:
    """Returns the targets that are leaving according to the bundle or the platform's list."""
    by_bundle = {t.name for t in row.group.targets if t.state is TargetState.LEAVING}
    return frozenset(by_bundle | (platform & set(row.targets)))


def non_voters(row: GroupRow) -> frozenset[str]:
    """Returns the targets of the group that are not voters."""
    return frozenset(set(row.targets) - set(voters(row)))
