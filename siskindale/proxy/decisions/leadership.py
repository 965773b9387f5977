"""What this VM knows of a group's primary, from replies of targets and failed connections."""

from siskindale.models.catalog import RegistrationState
from siskindale.proxy.tables import Group, Target


def note_primary(group: Group, target: Target, now: float) -> bool:
    """Records that a reply confirmed a target as the primary.

    Returns whether another primary was known before, or this one was considered lost.
    """
    leadership = group.leadership
    changed = leadership.primary_id != target.id or leadership.lost_since is not None
    leadership.primary_id = target.id
    leadership.confirmed_at = now
    leadership.lost_since = None
    leadership.connection_refused = False
    if leadership.pending_primary_id == target.id:
        leadership.pending_primary_id = ""
    return changed


def note_not_primary(group: Group, target: Target, now: float) -> bool:
    """Records that a target refused to act as the primary; returns whether it was known as such."""
    if group.leadership.primary_id != target.id:
        return False
    group.leadership.primary_id = ""
    group.leadership.lost_since = None
    return True


def note_unreachable(group: Group, target: Target, now: float, refused: bool) -> bool:
    """Records that no connection to a target can be opened.

    Returns whether the target is the primary and its state changed.
    """
    leadership = group.leadership
    if leadership.primary_id != target.id:
        return False
    changed = leadership.lost_since is None or leadership.connection_refused != refused
    leadership.lost_since = leadership.lost_since or now
    leadership.connection_refused = refused
    return changed


def note_reachable(group: Group, target: Target) -> None:
    """Records that a connection to a target was opened."""
    if group.leadership.primary_id == target.id:
        group.leadership.lost_since = None
        group.leadership.connection_refused = False


def adopt_registered_primary(group: Group) -> bool:
    """Uses the target that registered itself as the primary, unless a primary is known already.

    Returns whether the primary changed. A known primary is replaced only when another target
    confirms that it is the primary.
    """
    leadership = group.leadership
    registered = group.registered_primary()
    if registered is None or leadership.primary_id in group.targets or registered.closed:
        return False
    leadership.primary_id = registered.id
    leadership.lost_since = None
    return True


def targets_to_probe(group: Group) -> list[Target]:
    """Returns the targets to probe while no reachable primary is known."""
    return [
        target
        for target in group.targets.values()
        if not target.closed
        and target.entry.state in (RegistrationState.READY, RegistrationState.DRAINING)
    ]
