"""Versions of rows that keep their order when a store is restored from an older copy.

Such a store counts its commits on from the copy, so it gives out numbers a second time. Its era,
which rises with each restoration, is therefore the most significant part of a version.
"""

from collections.abc import Callable, Mapping

# Header of all responses of a store.
ERA_HEADER = "store-era"
# Lasts ten years at 3,200 commits a second, and leaves 8,191 eras within the integers of JSON.
COMMIT_BITS = 40
# Versions fit into 63 bits.
MAX_ERA_DIGITS = 6
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


class EraTracker:
    """Era of a store, as its responses tell it."""

    def __init__(self) -> None:
        self._era: int | None = None
        self._listeners: list[Callable[[int], None]] = []

    @property
    def era(self) -> int:
        """The era of the last response, 0 before any."""
        return self._era or 0

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with each era that follows another one."""
        self._listeners.append(listener)

    def note_response(self, headers: Mapping[str, str]) -> int | None:
        """Returns the era of a response, None if it was held up until its era has ended.

        A response without an era is taken to be of the known one.
        """
        known = self.era
        text = headers.get(ERA_HEADER, "")
        valid = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
        era = int(text) if valid else known
        if era < known:
            return None
        restored = self._era is not None and era > known
        self._era = era
        if restored:
            for listener in self._listeners:
                listener(era)
        return era

    def has_ended(self, version: int) -> bool:
        """Returns whether a version is from an era that has ended."""
        return version != NO_VERSION and era_of(version) < self.era
