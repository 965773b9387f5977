"""State of the monitoring of a group's primary."""

import attrs

from siskindale.proxy.decisions.failover import UnansweredPromotion
from siskindale.proxy.decisions.replacement import PromotionOrder
from siskindale.proxy.tables import Group


@attrs.define(eq=False)
class GroupWatch:
    """State of the monitoring of one group.

    `absent_since`: since when no primary is known.
    `reason_since`: since when there is a reason to replace the primary.
    `replacing`: whether this VM replaces the primary or lets replicas receive again.
    `preparing`: whether it has found a successor and has not finished with it.
    `peer_acted_at`: when a peer last prepared or ordered a promotion.
    `pending_primary_id`, `pending_since`: last seen `Leadership.pending_primary_id`, and when it
    changed.
    `refused_token`, `refusals`: fencing token with which calls were refused, and how often.
    `unanswered`: the last call to promote a target that got no answer.
    `order`: the last call to promote, of this VM or a peer, that may still be carried out.
    `duty_taken_at`: when this VM took the duty of the group.
    `stopped`: ids of replicas that were told to stop receiving and may not receive again yet.
    `unresumed`: ids of those whose answer to being told to receive again is missing.
    `led_by`: the last known primary.
    `noticed_at`, `resume_tried_at`: when peers were last told of a preparation, and when replicas
    were last told to receive again.
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
    preparing: bool = False
    noticed_at: float = 0.0
    peer_acted_at: float = 0.0
    refused_token: int = 0
    refusals: int = 0
    unanswered: UnansweredPromotion | None = None
    order: PromotionOrder | None = None
    duty_taken_at: float = 0.0
    stopped: set[str] = attrs.field(factory=set)
    unresumed: set[str] = attrs.field(factory=set)
    led_by: str = ""
    resume_tried_at: float = 0.0
