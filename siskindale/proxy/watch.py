"""State of the monitoring of a group's primary."""

import attrs

from siskindale.proxy.decisions.failover import UnansweredPromotion
from siskindale.proxy.tables import Group


@attrs.define(eq=False)
class GroupWatch:
    """State of the monitoring of one group.

    `absent_since`: since when no primary is known.
    `reason_since`: since when there is a reason to replace the primary.
    `peer_ordered_at`: when a peer last ordered a promotion.
    `pending_primary_id`, `pending_since`: last seen `Leadership.pending_primary_id`, and when it
    changed.
    `refused_token`, `refusals`: fencing token with which calls were refused, and how often.
    `unanswered`: the last call to promote a target that got no answer.
    """

    group: Group
    all_probed_at: float = 0.0
    probed_at: float = 0.0
    maintained_at: float = 0.0
    absent_since: float | None = None
    reason_since: float | None = None
    probing: set[str] = attrs.field(factory=set)
    replacing: bool = False
    pending_primary_id: str = ""
    pending_since: float = 0.0
    peer_ordered_at: float = 0.0
    refused_token: int = 0
    refusals: int = 0
    unanswered: UnansweredPromotion | None = None
