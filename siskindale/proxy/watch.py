"""State of the watch of a group's primary."""

import attrs

from siskindale.proxy.decisions.failover import UnsettledCall
from siskindale.proxy.tables import Group


@attrs.define(eq=False)
class GroupWatch:
    """State of the watch of one group.

    `absent_since` and `reason_since` tell since when no primary is known and since when it should
    be replaced; `acted_at` when a peer last ordered a promotion.
    """

    group: Group
    searched_at: float = 0.0
    probed_at: float = 0.0
    maintained_at: float = 0.0
    absent_since: float | None = None
    reason_since: float | None = None
    probing: set[str] = attrs.field(factory=set)
    replacing: bool = False
    ordered: str = ""
    ordered_at: float = 0.0
    acted_at: float = 0.0
    unsettled: UnsettledCall | None = None
