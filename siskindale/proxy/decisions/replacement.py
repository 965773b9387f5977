"""What the holder of the failover duty may do to a group whose replicas acknowledge commits.

Several VMs may believe that they hold the duty, since one that was cut off or paused learns late
that another one took it. The platform refuses an older fencing token only once it has seen a newer
one, and a target does not know fencing tokens at all. A replica that was stopped for a promotion
must not receive again as long as any call, of whichever VM, may still carry that promotion out.
"""

import math

import attrs

from siskindale.proxy.tables import Target

# A promotion that is carried out takes about a second.
PROMOTION_TIMEOUT_S = 2.2
# The platform may carry out a call seconds after the last sign of it.
LATE_CALL_S = 15.0
# What a holder sends after the store confirmed it has arrived by then, or is not sent any more.
CONFIRMED_FOR_S = 0.15
TAKEOVER_SETTLE_S = 0.4
# Other VMs leave a group to a holder that prepares a promotion. Beyond this time they may try: they
# may reach replicas that the holder cannot reach.
EXCLUSIVE_S = 2.0
# Below the shortest delay after which another VM takes the duty over.
NOTICE_INTERVAL_S = 0.2


@attrs.frozen
class PromotionOrder:
    """A call to promote `target` that this VM or a peer made, with no certain outcome yet.

    `target` is empty if a call of another VM was noticed only by the refusal of an own one.
    """

    target: str
    fencing_token: int
    ordered_at: float


def may_override(order: PromotionOrder | None, successor: Target, now: float) -> bool:
    """Returns whether the promotion of `successor` cannot meet one of another target.

    The later one of two promotions that are carried out loses what the earlier one has committed.
    """
    if order is None or order.target == successor.id:
        return True
    return now - order.ordered_at >= PROMOTION_TIMEOUT_S


def must_look_for_leader(order: PromotionOrder | None, successor: Target, now: float) -> bool:
    """Returns whether another target may lead by now, by a call that was carried out late."""
    if order is None or order.target == successor.id:
        return False
    return now - order.ordered_at < LATE_CALL_S


def may_resume(order: PromotionOrder | None, taken_at: float, now: float) -> bool:
    """Returns whether the replicas of a group may receive again.

    `taken_at` is when this VM took the duty: an earlier holder may have made a call before.
    """
    ordered_at = order.ordered_at if order is not None else -math.inf
    return now - max(ordered_at, taken_at) >= LATE_CALL_S


def claims_group(reason_since: float, taken_at: float, now: float) -> bool:
    """Returns whether a holder that prepares a promotion tells the others to leave it alone."""
    return now - max(reason_since, taken_at) < EXCLUSIVE_S
