"""State of the monitoring of a group's primary."""

import attrs

from siskindale.proxy.decisions.failover import UnsettledCall
from siskindale.proxy.tables import Group


@attrs.define(eq=False)
class GroupWatch:
    """State of the monitoring of one group.

    `absent_since`: since when no primary is known.
    `reason_since`: since when there is a reason to replace the primary.
    `acted_at`: when a peer last ordered a promotion.
    `ordered`, `ordered_at`: the last seen `Leadership.ordered`, and when it changed.
    `unsettled`: the last call that got no answer.
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
