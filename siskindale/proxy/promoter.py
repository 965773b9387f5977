"""Orders promotions as the holder of the failover duty."""

import gevent

from siskindale.models.gossip import PromotionNotice
from siskindale.models.vm import ProxySettings
from siskindale.platform.promotion import PromotionClient, PromotionOutcome
from siskindale.proxy import metrics
from siskindale.proxy.decisions import failover, succession
from siskindale.proxy.decisions.failover import Reason, UnansweredPromotion
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.duty import Duties
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.positions import query_logs, resume_receiving, stop_receiving
from siskindale.proxy.tables import Group, Target
from siskindale.proxy.watch import GroupWatch
from siskindale.runtime.logs import logger

# A promotion takes about a second; after this time another target is tried.
PROMOTION_TIMEOUT_S = 2.2
LEADERSHIP_CHECK_INTERVAL_S = 0.06
RETRY_S = 0.1
MAX_PROMOTION_CALLS = 10
# A single refusal may also mean that the chosen target does not run.
MAX_REFUSALS = 2
# While others are stopped, a successor catches up with them within a few round trips.
CATCH_UP_ATTEMPTS = 5
CATCH_UP_PAUSE_S = 0.03


class Promoter:
    """Chooses successors, orders their promotion and waits until they lead."""

    def __init__(
        self, settings: ProxySettings, pool: ConnectionPool, peers: Peers, duties: Duties
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._duties = duties
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
        successor = successors[0]
        if not self._secure_acknowledged(group, successor, logs):
            gevent.sleep(RETRY_S)
            return
        if self._rule_out_unanswered_call(watch, successor) and self._order_until_answered(
            watch, successor
        ):
            self._await_leadership(group, successor, started_at)
        elif group.limits.synchronous_replicas and watch.unanswered is None:
            resume_receiving(self._pool, group, succession.other_replicas(group, successor))

    def _secure_acknowledged(
        self, group: Group, successor: Target, logs: dict[str, ReplicaLog]
    ) -> bool:
        """Makes sure that a successor has all commits that are acknowledged until it leads.

        In a group with synchronous replicas it stops the other replicas from receiving. From then
        on no commit is acknowledged that the successor has not received.
        """
        if not group.limits.synchronous_replicas:
            return True
        others = succession.other_replicas(group, successor)
        term = 1 + max(log.newest_term for log in logs.values())
        logs.update(stop_receiving(self._pool, group, others, term))
        for _ in range(CATCH_UP_ATTEMPTS):
            if not succession.may_lack_acknowledged(group, successor, logs):
                return True
            gevent.sleep(CATCH_UP_PAUSE_S)
            logs.update(query_logs(self._pool, group, [successor]))
        logger().warning(
            "successor-unsafe",
            group=group.name,
            target=successor.id,
            synchronous_replicas=group.limits.synchronous_replicas,
            logs=",".join(
                f"{name}:{log.received}:{'exact' if log.exact else 'at least'}"
                for name, log in logs.items()
            ),
            replicas=1 + len(others),
        )
        resume_receiving(self._pool, group, others)
        return False

    def _order_until_answered(self, watch: GroupWatch, successor: Target) -> bool:
        """Repeats an unanswered call; returns whether the target will become the primary.

        An unanswered call may still be carried out later. Repeated calls for the same target keep
        the token, because a newer one would make the platform refuse the earlier calls.
        """
        group = watch.group
        for attempt in range(MAX_PROMOTION_CALLS):
            outcome = self._order_promotion(
                group, successor, failover.promotion_call_timeout(attempt)
            )
            if outcome is PromotionOutcome.ACCEPTED or group.leadership.primary_id == successor.id:
                return True
            if outcome is PromotionOutcome.REJECTED:
                self._count_refusal(watch)
                self._duties.of(group).refresh()
                successor.avoid_until = self._pool.now() + RETRY_S
                return False
            if outcome is PromotionOutcome.UNKNOWN:
                watch.unanswered = UnansweredPromotion(
                    successor.id, self._duties.of(group).token or 0
                )
            else:
                gevent.sleep(RETRY_S)
            if successor.leaving or successor.connection_refused:
                return False
        return False

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
        self, group: Group, successor: Target, timeout_s: float
    ) -> PromotionOutcome:
        token = self._duties.of(group).token
        if token is None:
            return PromotionOutcome.REJECTED
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
