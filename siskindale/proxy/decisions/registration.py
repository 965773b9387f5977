"""Order of the registrations of one target."""

from siskindale.models.catalog import TargetRegistration


def is_newer(known: TargetRegistration, entry: TargetRegistration) -> bool:
    """Returns whether a registration replaces the known one.

    The start time is compared first, because a restarted target counts its sequence from the
    beginning.
    """
    return (entry.started_ms, entry.sequence) >= (known.started_ms, known.sequence)
