"""How much of a group's targets each workspace has used lately.

Load pattern: one workspace sends many times its usual while statements of others wait. Statements
of the same priority are served in the order of what their workspaces have used: the small ones get
all that they ask for, and the others share the rest. Work counts, not statements, because a report
takes several times as long as a look-up.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from siskindale.proxy.tables import Group

# Longer than a burst of a small workspace, and short enough that a large one is not held back for
# what it used before others came.
HALF_LIFE_S = 2.0


@attrs.define
class RecentWork:
    """Seconds for which statements have run, decayed to the time `updated_at`."""

    seconds: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Returns the seconds that still count at `now`."""
        return self.seconds * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)


NO_WORK: Mapping[str, RecentWork] = {}


def note_work(group: "Group", workspace: str, seconds: float, now: float) -> None:
    """Records that a statement of a workspace takes `seconds` of a target."""
    work = group.recent_work.setdefault(workspace, RecentWork(updated_at=now))
    work.seconds = work.at(now) + seconds
    work.updated_at = now
