"""Content of a session token."""

import attrs

from siskindale.models.group import LogPosition


@attrs.frozen
class Session:
    """Newest acknowledged log positions that a caller has seen, by group name."""

    caller: str
    positions: dict[str, LogPosition] = attrs.field(factory=dict)

    def position(self, group: str) -> LogPosition:
        """Returns the log position that a read of `group` must include."""
        return self.positions.get(group, LogPosition())

    def with_position(self, group: str, position: LogPosition) -> "Session":
        """Returns the session with the later of the stored and the given position."""
        later = max(self.position(group), position)
        return attrs.evolve(self, positions={**self.positions, group: later})
