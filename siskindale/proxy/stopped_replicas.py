"""Stops the replicas of a group from receiving while its primary is replaced, and resumes them."""

from collections.abc import Mapping

import gevent

from siskindale.proxy.decisions import replacement, succession
from siskindale.proxy.decisions.succession import ReplicaLog
from siskindale.proxy.duty import Duties
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.positions import query_logs, resume_receiving, stop_receiving
from siskindale.proxy.tables import Target
from siskindale.proxy.watch import GroupWatch
from siskindale.runtime.logs import logger

# While others are stopped, a successor catches up with them within a few round trips.
CATCH_UP_ATTEMPTS = 5
CATCH_UP_PAUSE_S = 0.03


class StoppedReplicas:
    """Replicas that this VM has stopped, as the holder of the duty, in groups that need it.

    Replicas stay stopped from one attempt to the next, because a message to resume that arrives
    late would undo the stop on which the next attempt relies. They receive again once a target was
    promoted, or when no promotion that relies on them can be carried out any more.
    """

    def __init__(self, pool: ConnectionPool, peers: Peers, duties: Duties) -> None:
        self._pool = pool
        self._peers = peers
        self._duties = duties

    def secure_acknowledged(
        self, watch: GroupWatch, successor: Target, logs: dict[str, ReplicaLog]
    ) -> bool:
        """Makes sure that a successor has all commits that are acknowledged until it leads.

        It stops the other replicas from receiving. From then on no commit is acknowledged that the
        successor has not received.
        """
        group = watch.group
        self._await_settled(watch)
        self.resume(watch, watch.unresumed)
        for name in watch.unresumed:
            # It may carry out the earlier message to resume after the next one to stop.
            logs.pop(name, None)
        if successor.id not in logs:
            return False
        if not succession.enough_answered(group, successor, logs):
            self._log_unsafe(watch, successor, logs, "too many replicas are silent")
            self.resume(watch, set(logs))
            return False
        others = succession.other_replicas(group, successor)
        watch.stopped |= {target.id for target in others}
        term = 1 + max(log.newest_term for log in logs.values())
        logs.update(stop_receiving(self._pool, group, others, term))
        for _ in range(CATCH_UP_ATTEMPTS):
            if not succession.may_lack_acknowledged(group, successor, logs):
                return True
            gevent.sleep(CATCH_UP_PAUSE_S)
            logs.update(query_logs(self._pool, group, [successor]))
        self._log_unsafe(watch, successor, logs, "it may lack acknowledged commits")
        return False

    def _await_settled(self, watch: GroupWatch) -> None:
        """Waits until what an earlier holder has sent to the replicas has arrived."""
        settled_at = watch.duty_taken_at + replacement.TAKEOVER_SETTLE_S
        if (remaining_s := settled_at - self._pool.now()) > 0:
            gevent.sleep(remaining_s)

    def no_other_leads(self, watch: GroupWatch, successor: Target) -> bool:
        """Returns whether no replica besides a successor sees itself as the primary."""
        others = succession.other_replicas(watch.group, successor)
        logs = query_logs(self._pool, watch.group, others)
        return not any(log.leads for log in logs.values())

    def confirm_duty(self, watch: GroupWatch) -> bool:
        """Returns whether this VM surely still is the one that may act on a group.

        One that hears neither from the store nor from any peer may be cut off from all of them.
        """
        duty = self._duties.of(watch.group)
        answered = duty.confirm()
        return duty.token is not None and (answered or not self._peers.isolated)

    def resume(self, watch: GroupWatch, reachable: set[str]) -> None:
        """Lets those stopped replicas receive again that are reachable, if that is safe now."""
        named = watch.stopped & reachable
        now = self._pool.now()
        allowed = replacement.may_resume(watch.order, watch.duty_taken_at, now)
        if named and allowed and self.confirm_duty(watch):
            self._resume(watch, named, now + replacement.CONFIRMED_FOR_S)

    def _resume(self, watch: GroupWatch, named: set[str], send_before: float) -> None:
        group = watch.group
        targets = [target for target in group.targets.values() if target.id in named]
        answered = resume_receiving(self._pool, group, targets, send_before)
        watch.unresumed = (watch.unresumed | {target.id for target in targets}) - answered
        watch.stopped -= answered
        logger().info(
            "replicas-resumed",
            group=group.name,
            targets=",".join(sorted(answered)),
            unanswered=",".join(sorted(watch.unresumed)),
        )

    @staticmethod
    def _log_unsafe(
        watch: GroupWatch, successor: Target, logs: Mapping[str, ReplicaLog], reason: str
    ) -> None:
        group = watch.group
        logger().warning(
            "successor-unsafe",
            group=group.name,
            target=successor.id,
            reason=reason,
            synchronous_replicas=group.limits.synchronous_replicas,
            logs=",".join(
                f"{name}:{log.received}:{'exact' if log.exact else 'at least'}"
                for name, log in logs.items()
            ),
            replicas=len(succession.replicas(group)),
        )
