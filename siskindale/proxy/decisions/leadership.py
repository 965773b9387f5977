"""Belief about the primary of a group, from replies of targets and failed connections."""

from siskindale.models.catalog import TargetState
from siskindale.proxy.tables import Group, Target


def note_primary(group: Group, target: Target, now: float) -> bool:
    """Records a proof that a target is the primary; returns whether that is news."""
    known = group.leadership
    changed = known.target != target.id or known.lost_since is not None
    known.target = target.id
    known.proven_at = now
    known.lost_since = None
    known.refused = False
    if known.ordered == target.id:
        known.ordered = ""
    return changed


def note_not_primary(group: Group, target: Target, now: float) -> bool:
    """Records that a target refused to be the primary; returns whether that is news."""
    if group.leadership.target != target.id:
        return False
    group.leadership.target = ""
    group.leadership.lost_since = None
    return True


def note_unreachable(group: Group, target: Target, now: float, refused: bool) -> bool:
    """Records that no connection to a target can be opened.

    Returns whether it is the primary and that is news.
    """
    known = group.leadership
    if known.target != target.id:
        return False
    news = known.lost_since is None or known.refused != refused
    known.lost_since = known.lost_since or now
    known.refused = refused
    return news


def note_reachable(group: Group, target: Target) -> None:
    """Records that a connection to a target was opened."""
    if group.leadership.target == target.id:
        group.leadership.lost_since = None
        group.leadership.refused = False


def adopt_registration(group: Group) -> bool:
    """Takes the target that registered as the primary, while no better knowledge exists.

    Returns whether that changed anything. A primary in use is only replaced by a proof.
    """
    known = group.leadership
    claimed = group.registered_primary()
    if claimed is None or known.target in group.targets or claimed.closed:
        return False
    known.target = claimed.id
    known.lost_since = None
    return True


def probe_targets(group: Group) -> list[Target]:
    """Returns the targets to ask for leadership while no primary is known to be reachable."""
    return [
        target
        for target in group.targets.values()
        if not target.closed and target.entry.state in (TargetState.READY, TargetState.DRAINING)
    ]
