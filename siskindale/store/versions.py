"""Versions of rows that keep their order when a store is restored from an older copy.

Such a store counts its commits on from the copy, so it gives out numbers a second time. Its era,
which rises with each restoration, is therefore the most significant part of a version.
"""

# Lasts ten years at 3,200 commits a second, and leaves 8,191 eras within the integers of JSON.
COMMIT_BITS = 40
# Stands for a row that does not exist and for a table that was not read yet.
NO_VERSION = 0


def version_in_era(era: int, commit: int) -> int:
    """Returns the version of a store's commit."""
    return era << COMMIT_BITS | commit


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> COMMIT_BITS


def commit_of(version: int) -> int:
    """Returns the number of the commit within the era of a version, as the store counts it."""
    return version & ((1 << COMMIT_BITS) - 1)
