"""Questions about a group that several systems ask."""

from collections.abc import Collection

from siskindale.controller.tables import GroupRow, TargetRow
from siskindale.models.bundle import TargetState
from siskindale.models.group import LogPosition, Role, TargetStatus, majority


def has_majority(holders: Collection[str], voters: tuple[str, ...]) -> bool:
    """Whether holders include a majority of the voters; an empty set of voters asks for none."""
    return not voters or len(set(holders) & set(voters)) >= majority(len(voters))


def holds(status: TargetStatus, at: LogPosition) -> bool:
    """Whether a status proves that the target holds an entry of its own term."""
    return status.term == at.term and status.matched and status.log.position >= at.position


def newest_marker(row: GroupRow) -> TargetStatus | None:
    """Returns the status with the newest marker, None while no target has any."""
    found = [s for s in row.statuses if s.marker.position > 0]
    return max(found, key=lambda s: s.marker, default=None)


def voters(row: GroupRow) -> tuple[str, ...]:
    """Returns the voters of the newest marker, those of the bundle before the first."""
    newest = newest_marker(row)
    return newest.voters if newest else row.group.voters


def primary_name(row: GroupRow) -> str:
    """Returns the primary of the highest term seen, by itself or by its replicas; else empty."""
    named = [
        s.name if s.role is Role.PRIMARY else s.primary or ""
        for s in row.statuses
        if s.term == row.top_term and s.role is not Role.FENCED
    ]
    return next((name for name in named if name), "")


def recent(row: TargetRow | None, now: float, limit_s: float) -> bool:
    """Whether a target answered within the limit."""
    return row is not None and now - row.answered_at < limit_s


def serving_primary(row: GroupRow, now: float, limit_s: float) -> TargetStatus | None:
    """Returns the status of the highest term's primary if it answered within the limit."""
    found = row.targets.get(primary_name(row))
    if found is None or found.status is None or not recent(found, now, limit_s):
        return None
    status = found.status
    return status if status.role is Role.PRIMARY and status.term == row.top_term else None


def responding_voters(row: GroupRow, now: float, limit_s: float) -> list[TargetRow]:
    """Returns the rows of voters that answered within the limit."""
    named = (row.targets.get(name) for name in voters(row))
    return [r for r in named if r is not None and recent(r, now, limit_s)]


def update_committed(row: GroupRow) -> None:
    """Notes the marker of the highest term once majorities of both its voter sets hold it."""
    newest = newest_marker(row)
    if newest is None or newest.marker <= row.committed:
        return
    holders = [s.name for s in row.statuses if holds(s, newest.marker)]
    both = has_majority(holders, newest.voters) and has_majority(holders, newest.previous_voters)
    if both:
        row.committed = newest.marker


def leaving(row: GroupRow, platform: frozenset[str]) -> frozenset[str]:
    """Returns the targets that leave by the bundle or by the platform's list."""
    by_bundle = {t.name for t in row.group.targets if t.state is TargetState.LEAVING}
    return frozenset(by_bundle | (platform & set(row.targets)))


def without_vote(row: GroupRow) -> frozenset[str]:
    """Returns the targets of the group that are no voters."""
    return frozenset(set(row.targets) - set(voters(row)))
