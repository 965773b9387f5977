"""Orders promotions as the holder of the failover duty."""

import attrs
import gevent

from siskindale.models.gossip import PreparationNotice, PromotionNotice
from siskindale.models.vm import ProxySettings
from siskindale.platform.promotion import PromotionClient, PromotionOutcome
from siskindale.proxy import metrics
from siskindale.proxy.decisions import failover, replacement, succession
from siskindale.proxy.decisions.failover import Reason, UnansweredPromotion
from siskindale.proxy.decisions.replacement import PROMOTION_TIMEOUT_S, PromotionOrder
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.duty import Duties
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.positions import query_logs
from siskindale.proxy.stopped_replicas import StoppedReplicas
from siskindale.proxy.tables import Group, Target
from siskindale.proxy.watch import GroupWatch
from siskindale.runtime.logs import logger

LEADERSHIP_CHECK_INTERVAL_S = 0.06
RETRY_S = 0.1
MAX_PROMOTION_CALLS = 10
# A single refusal may also mean that the chosen target does not run.
MAX_REFUSALS = 2


class Promoter:
    """Chooses successors, orders their promotion and waits until they lead."""

    def __init__(
        self,
        settings: ProxySettings,
        pool: ConnectionPool,
        peers: Peers,
        duties: Duties,
        stopped_replicas: StoppedReplicas,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._duties = duties
        self._stopped_replicas = stopped_replicas
        self._promotions = PromotionClient(settings.promotions, settings.vm)

    def promote(self, watch: GroupWatch, reason: Reason) -> None:
        """Replaces the primary of a group; returns when its successor leads or on failure."""
        group = watch.group
        started_at = self._pool.now()
        duty = self._duties.of(group)
        if duty.token is None and not duty.take(f"{group.name}: {reason.value}"):
            gevent.sleep(RETRY_S)
            return
        if watch.refusals >= MAX_REFUSALS and watch.refused_token == duty.token:
            # A VM that held another duty of this group has used a newer token.
            duty.take(f"{group.name}: token was refused")
        logs = query_logs(self._pool, group, succession.replicas(group))
        successors = succession.rank_successors(group, logs)
        logger().info(
            "promotion-decided",
            group=group.name,
            reason=reason.value,
            old=group.leadership.primary_id,
            successors=",".join(target.id for target in successors),
            positions=",".join(f"{name}:{log.received}" for name, log in logs.items()),
            fencing_token=duty.token,
        )
        if not successors:
            gevent.sleep(RETRY_S)
            return
        watch.preparing = True
        self.announce_preparation(watch)
        self._promote(watch, successors[0], logs, started_at)

    def announce_preparation(self, watch: GroupWatch) -> None:
        """Tells the peers that this VM prepares a promotion, unless it has had its time."""
        now = self._pool.now()
        token = self._duties.of(watch.group).token
        claims = replacement.claims_group(watch.reason_since or now, watch.duty_taken_at, now)
        if token is not None and claims:
            watch.noticed_at = now
            self._peers.notify_promotion(PreparationNotice(watch.group.name, token))

    def _promote(
        self,
        watch: GroupWatch,
        successor: Target,
        logs: dict[str, ReplicaLog],
        started_at: float,
    ) -> None:
        """Promotes a target if that is safe; returns when it leads or on failure."""
        group = watch.group
        if group.limits.synchronous_replicas and not self._may_order(watch, successor, logs):
            gevent.sleep(RETRY_S)
            return
        if self._rule_out_unanswered_call(watch, successor) and self._order_until_answered(
            watch, successor
        ):
            self._await_leadership(group, successor, started_at)
        elif group.limits.synchronous_replicas:
            self._stopped_replicas.resume(watch, set(logs))

    def _may_order(self, watch: GroupWatch, successor: Target, logs: dict[str, ReplicaLog]) -> bool:
        """Returns whether the promotion of a target loses no acknowledged commit.

        That other replicas are stopped is of no use if another VM lets them receive again, or
        promotes another target: so this VM must hold the duty, and no such call may be on its way.
        """
        if not self._stopped_replicas.secure_acknowledged(watch, successor, logs):
            return False
        if not self._stopped_replicas.confirm_duty(watch):
            logger().warning("promotion-left", group=watch.group.name, reason="duty is not held")
            return False
        now = self._pool.now()
        if not replacement.may_override(watch.order, successor, now):
            logger().info("promotion-left", group=watch.group.name, reason="another is on its way")
            return False
        if not replacement.must_look_for_leader(watch.order, successor, now):
            return True
        return self._stopped_replicas.no_other_leads(watch, successor)

    def _order_until_answered(self, watch: GroupWatch, successor: Target) -> bool:
        """Repeats an unanswered call; returns whether the target will become the primary.

        An unanswered call may still be carried out later. Repeated calls for the same target keep
        the token, because a newer one would make the platform refuse the earlier calls.
        """
        group = watch.group
        earlier_order = watch.order
        for attempt in range(MAX_PROMOTION_CALLS):
            outcome = self._order_promotion(
                watch, successor, failover.promotion_call_timeout(attempt)
            )
            if outcome is PromotionOutcome.ACCEPTED or group.leadership.primary_id == successor.id:
                return True
            if outcome is PromotionOutcome.REJECTED:
                self._count_refusal(watch)
                self._note_rejected(watch, earlier_order)
                successor.avoid_until = self._pool.now() + RETRY_S
                return False
            if outcome is PromotionOutcome.UNKNOWN:
                watch.unanswered = UnansweredPromotion(
                    successor.id, self._duties.of(group).token or 0
                )
                earlier_order = watch.order
            else:
                watch.order = earlier_order
                gevent.sleep(RETRY_S)
            if successor.leaving or successor.connection_refused:
                return False
        return False

    def _note_rejected(self, watch: GroupWatch, earlier_order: PromotionOrder | None) -> None:
        """Records a refused call: another VM may have made a newer one, unless the store denies it.

        While this VM holds the duty, the chosen target does not run.
        """
        duty = self._duties.of(watch.group)
        if duty.refresh() and duty.token is not None:
            watch.order = earlier_order
        elif watch.order is not None:
            watch.order = attrs.evolve(watch.order, target="", ordered_at=self._pool.now())

    def _count_refusal(self, watch: GroupWatch) -> None:
        token = self._duties.of(watch.group).token or 0
        watch.refusals = watch.refusals + 1 if watch.refused_token == token else 1
        watch.refused_token = token

    def _rule_out_unanswered_call(self, watch: GroupWatch, successor: Target) -> bool:
        """Ensures that no earlier call can promote another target; returns whether it succeeded.

        For that it takes the duty with a new token, if such a call is unanswered.
        """
        duty = self._duties.of(watch.group)
        unanswered, token = watch.unanswered, duty.token
        if (
            token is None
            or unanswered is None
            or not failover.could_override(unanswered, successor, token)
        ):
            return token is not None
        return duty.take("earlier call without an answer")

    def _order_promotion(
        self, watch: GroupWatch, successor: Target, timeout_s: float
    ) -> PromotionOutcome:
        group = watch.group
        token = self._duties.of(group).token
        if token is None:
            return PromotionOutcome.REJECTED
        watch.order = PromotionOrder(successor.id, token, self._pool.now())
        self._peers.notify_promotion(PromotionNotice(group.name, successor.id, token, False))
        called_at = self._pool.now()
        outcome = self._promotions.promote(group.name, successor.id, token, timeout_s)
        metrics.PROMOTIONS.labels(outcome.value).inc()
        logger().info(
            "promotion-ordered",
            group=group.name,
            target=successor.id,
            fencing_token=token,
            outcome=outcome.value,
            took_ms=round((self._pool.now() - called_at) * 1000, 1),
        )
        if outcome is PromotionOutcome.ACCEPTED:
            group.leadership.pending_primary_id = successor.id
            self._peers.notify_promotion(PromotionNotice(group.name, successor.id, token, True))
        return outcome

    def _await_leadership(self, group: Group, successor: Target, started_at: float) -> None:
        give_up_at = self._pool.now() + PROMOTION_TIMEOUT_S
        while self._pool.now() < give_up_at:
            if (
                group.leadership.primary_id == successor.id
                and not group.leadership.pending_primary_id
            ):
                logger().info(
                    "promotion-completed",
                    group=group.name,
                    target=successor.id,
                    took_ms=round((self._pool.now() - started_at) * 1000),
                )
                return
            gevent.sleep(LEADERSHIP_CHECK_INTERVAL_S)
        logger().warning("promotion-not-seen", group=group.name, target=successor.id)
        group.leadership.pending_primary_id = ""
