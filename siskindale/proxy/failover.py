"""Watching of primaries and ordering of promotions."""

import attrs
import gevent

from siskindale.membership.rendezvous import score
from siskindale.models.gossip import PromotionNotice
from siskindale.models.vm import ProxySettings
from siskindale.platform.promotion import Promotion, PromotionClient
from siskindale.proxy import metrics
from siskindale.proxy.decisions import failover, leadership
from siskindale.proxy.decisions.failover import Reason, Reports, UnsettledCall
from siskindale.proxy.duty import FailoverDuty
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.positions import received_positions
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger

TICK_S = 0.05
MAINTENANCE_S = 0.25
PROBE_INTERVAL_S = 0.5
# A primary that owes replies for this long without sending any is probed at once.
SILENCE_PROBE_S = 0.12
PROBE_TIMEOUT_S = 0.25
# While no primary is known, each target is asked this often.
SEARCH_INTERVAL_S = 0.06


# A promotion takes about a second; after this time another target is tried.
PROMOTION_LIMIT_S = 2.2
RETRY_S = 0.1
MAX_CALLS = 10
# A tick that is this late shows that this VM stood still, and its evidence is void.
STALL_S = 0.5
DUTY_CHECK_S = 1.0
ORPHANED_DUTY_S = 4.0


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


class Failover:
    """Probes primaries, shares what it sees with peers, and replaces primaries as the holder."""

    def __init__(
        self,
        settings: ProxySettings,
        state: ProxyState,
        pool: ConnectionPool,
        peers: Peers,
        duty: FailoverDuty,
    ) -> None:
        self._settings = settings
        self._state = state
        self._pool = pool
        self._peers = peers
        self._duty = duty
        self._promotions = PromotionClient(settings.promotions, settings.vm)
        self._watches: dict[str, GroupWatch] = {}
        self._orphaned_since: float | None = None
        peers.on_promotion(self._note_promotion)

    def _note_promotion(self, notice: PromotionNotice, holder: str) -> None:
        """Records that a peer acts for a group, and what it has ordered."""
        group = self._state.groups.get(notice.group)
        if group is None:
            return
        self._duty.learn(holder, notice.fencing_token)
        self._watch(group).acted_at = self._pool.now()
        if notice.accepted:
            group.leadership.ordered = notice.target
            logger().info(
                "promotion-announced",
                group=notice.group,
                target=notice.target,
                fencing_token=notice.fencing_token,
                holder=holder,
            )

    def _watch(self, group: Group) -> GroupWatch:
        return self._watches.setdefault(group.name, GroupWatch(group))

    def run(self) -> None:
        """Watches all groups until it is killed."""
        last = self._pool.now()
        while True:
            gevent.sleep(TICK_S)
            now = self._pool.now()
            if now - last > STALL_S:
                self._reset_after_stall(now - last)
            last = now
            for group in list(self._state.groups.values()):
                self._tick(self._watch(group), now)

    def keep_duty(self) -> None:
        """Takes the duty while nobody holds it, so that a token exists before it is needed."""
        while True:
            gevent.sleep(DUTY_CHECK_S * (1 + self._rank("failover") * 0.3))
            if self._state.ready:
                self._check_duty()

    def _check_duty(self) -> None:
        if not self._duty.known and not self._duty.refresh():
            return
        if self._duty.token is not None:
            return
        if self._duty.holder in ("", self._settings.vm):
            self._duty.take("held by an earlier start" if self._duty.holder else "vacant")
            return
        now = self._pool.now()
        live = {peer.vm for peer in self._peers.live() if not peer.draining}
        if self._duty.holder in live:
            self._orphaned_since = None
            return
        self._orphaned_since = self._orphaned_since or now
        if now - self._orphaned_since >= ORPHANED_DUTY_S and self._rank("failover") == 0:
            self._orphaned_since = None
            self._duty.take("holder is gone")

    def _rank(self, group: str) -> int:
        own = score(group, self._settings.vm)
        return sum(score(group, peer.vm) > own for peer in self._peers.live() if not peer.draining)

    def _reset_after_stall(self, stalled_s: float) -> None:
        logger().warning("process-stalled", stalled_ms=round(stalled_s * 1000))
        for watch in self._watches.values():
            watch.group.leadership.lost_since = None
            watch.absent_since = watch.reason_since = None

    def _tick(self, watch: GroupWatch, now: float) -> None:
        group = watch.group
        if now - watch.maintained_at >= MAINTENANCE_S:
            watch.maintained_at = now
            if leadership.adopt_registration(group):
                self._pool.dispatch(group)
            self._pool.maintain(group)
        primary = group.primary
        self._note_absence(watch, primary, now)
        if primary is None or group.leadership.lost_since is not None or group.leadership.ordered:
            self._search(watch, now)
        elif self._is_probe_due(watch, primary, now):
            watch.probed_at = now
            self._probe(watch, primary)
        self._forget_order(watch, now)
        self._consider(watch, now)

    def _is_probe_due(self, watch: GroupWatch, primary: Target, now: float) -> bool:
        if self._pool.drop_closed(watch.group, primary):
            self._pool.reopen(watch.group, primary)
        silent = primary.silent_since
        if silent is not None and now - silent >= SILENCE_PROBE_S:
            return now - watch.probed_at >= SILENCE_PROBE_S
        return now - max(watch.group.leadership.proven_at, watch.probed_at) >= PROBE_INTERVAL_S

    def _forget_order(self, watch: GroupWatch, now: float) -> None:
        """Lets another VM act if an announced promotion does not come about."""
        known = watch.group.leadership
        if known.ordered != watch.ordered:
            watch.ordered, watch.ordered_at = known.ordered, now
        elif known.ordered and now - watch.ordered_at > PROMOTION_LIMIT_S + TICK_S:
            logger().warning("promotion-overdue", group=watch.group.name, target=known.ordered)
            known.ordered = ""

    def _note_absence(self, watch: GroupWatch, primary: Target | None, now: float) -> None:
        if primary is not None or not watch.group.targets:
            watch.absent_since = None
        elif watch.absent_since is None:
            watch.absent_since = now

    def _search(self, watch: GroupWatch, now: float) -> None:
        if now - watch.searched_at < SEARCH_INTERVAL_S:
            return
        watch.searched_at = now
        for target in leadership.probe_targets(watch.group):
            self._probe(watch, target)

    def _probe(self, watch: GroupWatch, target: Target) -> None:
        if target.id not in watch.probing:
            watch.probing.add(target.id)
            gevent.spawn(self._run_probe, watch, target)

    def _run_probe(self, watch: GroupWatch, target: Target) -> None:
        try:
            if not target.idle and target.open_count == 0:
                self._pool.reopen(watch.group, target)
            self._pool.prove(watch.group, target, PROBE_TIMEOUT_S)
        finally:
            watch.probing.discard(target.id)

    def _consider(self, watch: GroupWatch, now: float) -> None:
        group = watch.group
        reason = failover.reason_to_replace(group, self._reports(group), watch.absent_since, now)
        if reason is None:
            watch.reason_since = None
            return
        watch.reason_since = watch.reason_since or now
        if watch.replacing or group.leadership.ordered:
            return
        holds_duty = self._duty.token is not None
        rank = self._rank(group.name)
        if not failover.may_act(holds_duty, rank, watch.reason_since, watch.acted_at, now):
            return
        watch.replacing = True
        gevent.spawn(self._replace, watch, reason)

    def _reports(self, group: Group) -> Reports:
        known = group.leadership
        peers = self._peers.lost_by(group.name, known.target)
        own = known.lost_since is not None
        refused = sum(
            any(loss.refused for loss in peer.losses if loss.group == group.name) for peer in peers
        )
        return Reports(
            vms=1 + len(self._peers.live()),
            lost=len(peers) + own,
            refused=refused + (own and known.refused),
        )

    def _replace(self, watch: GroupWatch, reason: Reason) -> None:
        try:
            self._promote(watch, reason)
        finally:
            watch.replacing = False

    def _promote(self, watch: GroupWatch, reason: Reason) -> None:
        group = watch.group
        started = self._pool.now()
        if self._duty.token is None and not self._duty.take(f"{group.name}: {reason.value}"):
            gevent.sleep(RETRY_S)
            return
        received = received_positions(self._pool, group)
        successors = failover.rank_successors(group, received)
        logger().info(
            "promotion-decided",
            group=group.name,
            reason=reason.value,
            old=group.leadership.target,
            successors=",".join(target.id for target in successors),
            positions=",".join(f"{name}:{position}" for name, position in received.items()),
            fencing_token=self._duty.token,
        )
        if not successors:
            gevent.sleep(RETRY_S)
            return
        successor = successors[0]
        if self._settle(watch, successor) and self._order_until_settled(watch, successor):
            self._await_leadership(group, successor, started)

    def _order_until_settled(self, watch: GroupWatch, successor: Target) -> bool:
        """Repeats the call while it stays unanswered; returns whether the target will lead.

        Each unanswered call may be carried out later, so a repetition for the same target keeps the
        token: a newer one would void the calls before.
        """
        group = watch.group
        for attempt in range(MAX_CALLS):
            outcome = self._order(group, successor, failover.call_timeout(attempt))
            if outcome is Promotion.ACCEPTED or group.leadership.target == successor.id:
                return True
            if outcome is Promotion.REJECTED:
                self._duty.refresh()
                successor.avoid_until = self._pool.now() + RETRY_S
                return False
            if outcome is Promotion.UNKNOWN:
                watch.unsettled = UnsettledCall(successor.id, self._duty.token or 0)
            else:
                gevent.sleep(RETRY_S)
            if successor.leaving or successor.refused:
                return False
        return False

    def _settle(self, watch: GroupWatch, successor: Target) -> bool:
        """Makes sure that no earlier call can promote another target; False if it cannot."""
        unsettled, token = watch.unsettled, self._duty.token
        if (
            token is None
            or unsettled is None
            or not failover.conflicts(unsettled, successor, token)
        ):
            return token is not None
        return self._duty.take("earlier call without an answer")

    def _order(self, group: Group, successor: Target, timeout_s: float) -> Promotion:
        token = self._duty.token
        if token is None:
            return Promotion.REJECTED
        self._peers.notify_promotion(PromotionNotice(group.name, successor.id, token, False))
        called = self._pool.now()
        outcome = self._promotions.promote(group.name, successor.id, token, timeout_s)
        metrics.PROMOTIONS.labels(outcome.value).inc()
        logger().info(
            "promotion-ordered",
            group=group.name,
            target=successor.id,
            fencing_token=token,
            outcome=outcome.value,
            took_ms=round((self._pool.now() - called) * 1000, 1),
        )
        if outcome is Promotion.ACCEPTED:
            group.leadership.ordered = successor.id
            self._peers.notify_promotion(PromotionNotice(group.name, successor.id, token, True))
        return outcome

    def _await_leadership(self, group: Group, successor: Target, started: float) -> None:
        give_up = self._pool.now() + PROMOTION_LIMIT_S
        while self._pool.now() < give_up:
            if group.leadership.target == successor.id and not group.leadership.ordered:
                logger().info(
                    "promotion-completed",
                    group=group.name,
                    target=successor.id,
                    took_ms=round((self._pool.now() - started) * 1000),
                )
                return
            gevent.sleep(SEARCH_INTERVAL_S)
        logger().warning("promotion-not-seen", group=group.name, target=successor.id)
        group.leadership.ordered = ""
