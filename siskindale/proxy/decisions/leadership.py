"""What this VM knows of a group's primary, from replies of targets and failed connections."""

from siskindale.models.catalog import RegistrationState
from siskindale.proxy.tables import Group, Target


def note_primary(group: Group, target: Target, now: float) -> bool:
    """Records that a reply confirmed a target as the primary.

    Returns whether another primary was known before, or this one was considered lost.
    """
    leadership = group.leadership
    changed = leadership.target != target.id or leadership.lost_since is not None
    leadership.target = target.id
    leadership.proven_at = now
    leadership.lost_since = None
    leadership.refused = False
    if leadership.ordered == target.id:
        leadership.ordered = ""
    return changed


def note_not_primary(group: Group, target: Target, now: float) -> bool:
    """Records that a target refused to act as the primary; returns whether it was known as such."""
    if group.leadership.target != target.id:
        return False
    group.leadership.target = ""
    group.leadership.lost_since = None
    return True


def note_unreachable(group: Group, target: Target, now: float, refused: bool) -> bool:
    """Records that no connection to a target can be opened.

    Returns whether the target is the primary and its state changed.
    """
    leadership = group.leadership
    if leadership.target != target.id:
        return False
    changed = leadership.lost_since is None or leadership.refused != refused
    leadership.lost_since = leadership.lost_since or now
    leadership.refused = refused
    return changed


def note_reachable(group: Group, target: Target) -> None:
    """Records that a connection to a target was opened."""
    if group.leadership.target == target.id:
        group.leadership.lost_since = None
        group.leadership.refused = False


def adopt_registration(group: Group) -> bool:
    """Uses the target that registered itself as the primary, unless a primary is known already.

    Returns whether the primary changed. A known primary is replaced only when another target
    confirms that it is the primary.
    """
    leadership = group.leadership
    registered = group.registered_primary()
    if registered is None or leadership.target in group.targets or registered.closed:
        return False
    leadership.target = registered.id
    leadership.lost_since = None
    return True


def probe_targets(group: Group) -> list[Target]:
    """Returns the targets to probe while no reachable primary is known."""
    return [
        target
        for target in group.targets.values()
        if not target.closed
        and target.entry.state in (RegistrationState.READY, RegistrationState.DRAINING)
    ]
