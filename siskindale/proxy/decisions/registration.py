"""Order of the registrations of one target."""

from siskindale.models.catalog import TargetEntry


def is_newer(known: TargetEntry, entry: TargetEntry) -> bool:
    """Tells whether a registration replaces the known one.

    A target that starts again under its id counts from the beginning.
    """
    return (entry.started_ms, entry.sequence) >= (known.started_ms, known.sequence)
