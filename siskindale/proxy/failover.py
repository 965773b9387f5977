"""Monitors primaries: probes them, detects their loss, and decides to replace them."""

import gevent

from siskindale.models.gossip import PreparationNotice, PromotionNotice
from siskindale.models.vm import ProxySettings
from siskindale.proxy.decisions import failover, leadership, succession
from siskindale.proxy.decisions.failover import LossReports, Reason
from siskindale.proxy.decisions.replacement import (
    NOTICE_INTERVAL_S,
    PROMOTION_TIMEOUT_S,
    PromotionOrder,
)
from siskindale.proxy.duty import Duties
from siskindale.proxy.duty_keeper import vm_rank
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.peers import Peers
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.promoter import Promoter
from siskindale.proxy.state import ProxyState
from siskindale.proxy.stopped_replicas import StoppedReplicas
from siskindale.proxy.tables import Group, Target
from siskindale.proxy.transactions import TransactionRunner
from siskindale.proxy.watch import GroupWatch
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived

TICK_INTERVAL_S = 0.05
MAINTENANCE_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.5
# A primary is probed at once if replies are outstanding for this long and none arrives.
SILENCE_PROBE_S = 0.12
PROBE_TIMEOUT_S = 0.25
# Interval between probes of each target while no primary is known.
PROBE_ALL_INTERVAL_S = 0.06
RESUME_INTERVAL_S = 1.0
# If a tick is this late, the process was stalled, and its observations of losses are discarded.
STALL_THRESHOLD_S = 0.5


class Failover:
    """Probes primaries, shares losses with peers, and replaces primaries that are lost or leaving.

    The holder of the failover duty replaces them first; other VMs take over if it does not.
    """

    def __init__(
        self,
        settings: ProxySettings,
        state: ProxyState,
        pool: ConnectionPool,
        peers: Peers,
        ownership: Ownership,
        duties: Duties,
        transactions: TransactionRunner,
    ) -> None:
        self._settings = settings
        self._state = state
        self._pool = pool
        self._peers = peers
        self._ownership = ownership
        self._duties = duties
        self._transactions = transactions
        self._stopped_replicas = StoppedReplicas(pool, peers, duties)
        self._promoter = Promoter(settings, pool, peers, duties, self._stopped_replicas)
        self._watches: dict[str, GroupWatch] = {}
        peers.on_promotion(self._note_promotion)
        peers.on_preparation(self._note_preparation)
        duties.on_taken(self._note_duty_taken)

    def _note_duty_taken(self, key: str) -> None:
        """Tells the peers, and counts all replicas as stopped by the holder before this VM."""
        now = self._pool.now()
        for group in self._state.groups.values():
            if self._duties.of(group).key != key:
                continue
            watch = self._watch(group)
            watch.duty_taken_at = now
            if group.limits.synchronous_replicas:
                watch.stopped = {target.id for target in group.targets.values()}
        self._peers.announce()

    def _note_preparation(self, notice: PreparationNotice, holder: str) -> None:
        """Records that a peer prepares a promotion in a group."""
        group = self._state.groups.get(notice.group)
        if group is not None:
            self._duties.of(group).adopt_holder(holder, notice.fencing_token)
            self._watch(group).peer_acted_at = self._pool.now()

    def _note_promotion(self, notice: PromotionNotice, holder: str) -> None:
        """Records that a peer orders a promotion in a group, and whether it was accepted."""
        group = self._state.groups.get(notice.group)
        if group is None:
            return
        self._duties.of(group).adopt_holder(holder, notice.fencing_token)
        watch = self._watch(group)
        watch.peer_acted_at = self._pool.now()
        watch.order = PromotionOrder(notice.target, notice.fencing_token, watch.peer_acted_at)
        if notice.accepted:
            group.leadership.pending_primary_id = notice.target
            logger().info(
                "promotion-announced",
                group=notice.group,
                target=notice.target,
                fencing_token=notice.fencing_token,
                holder=holder,
            )

    def _watch(self, group: Group) -> GroupWatch:
        return self._watches.setdefault(group.name, GroupWatch(group))

    @long_lived("failover", vital=True)
    def run(self) -> None:
        """Monitors all groups until it is killed."""
        last = self._pool.now()
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            now = self._pool.now()
            if now - last > STALL_THRESHOLD_S:
                self._reset_after_stall(now - last)
            last = now
            for group in list(self._state.groups.values()):
                if self._ownership.owns(group):
                    self._tick(self._watch(group), now)
                elif group.targets:
                    self._maintain(self._watch(group), now)

    def _reset_after_stall(self, stalled_s: float) -> None:
        logger().warning("process-stalled", stalled_ms=round(stalled_s * 1000))
        for watch in self._watches.values():
            watch.group.leadership.lost_since = None
            watch.absent_since = watch.reason_since = None
        for duty in self._duties.held():
            # Another VM may have taken the duty, and calls with the old token would be refused.
            gevent.spawn(duty.refresh)

    def _tick(self, watch: GroupWatch, now: float) -> None:
        group = watch.group
        self._maintain(watch, now)
        primary = group.primary
        self._update_absence(watch, primary, now)
        self._note_leader(watch)
        if (
            primary is None
            or group.leadership.lost_since is not None
            or group.leadership.pending_primary_id
        ):
            self._probe_all(watch, now)
        elif self._is_probe_due(watch, primary, now):
            watch.probed_at = now
            self._probe(watch, primary)
        self._expire_pending_promotion(watch, now)
        self._replace_if_needed(watch, now)

    def _maintain(self, watch: GroupWatch, now: float) -> None:
        if now - watch.maintained_at < MAINTENANCE_INTERVAL_S:
            return
        watch.maintained_at = now
        if leadership.adopt_registered_primary(watch.group):
            self._pool.dispatch(watch.group)
        self._pool.maintain(watch.group)
        self._transactions.limit_idle(watch.group, self._state.transaction_idle_s)

    def _is_probe_due(self, watch: GroupWatch, primary: Target, now: float) -> bool:
        if self._pool.drop_closed(watch.group, primary):
            self._pool.open_in_background(watch.group, primary)
        silent_since = primary.silent_since
        if silent_since is not None and now - silent_since >= SILENCE_PROBE_S:
            return now - watch.probed_at >= SILENCE_PROBE_S
        return now - max(watch.group.leadership.confirmed_at, watch.probed_at) >= PROBE_INTERVAL_S

    def _expire_pending_promotion(self, watch: GroupWatch, now: float) -> None:
        """Clears an accepted promotion that did not complete in time, so that another can start."""
        known_leadership = watch.group.leadership
        if known_leadership.pending_primary_id != watch.pending_primary_id:
            watch.pending_primary_id, watch.pending_since = known_leadership.pending_primary_id, now
        elif (
            known_leadership.pending_primary_id
            and now - watch.pending_since > PROMOTION_TIMEOUT_S + TICK_INTERVAL_S
        ):
            logger().warning(
                "promotion-overdue",
                group=watch.group.name,
                target=known_leadership.pending_primary_id,
            )
            known_leadership.pending_primary_id = ""

    def _update_absence(self, watch: GroupWatch, primary: Target | None, now: float) -> None:
        if primary is not None or not watch.group.targets:
            watch.absent_since = None
        elif watch.absent_since is None:
            watch.absent_since = now

    def _note_leader(self, watch: GroupWatch) -> None:
        """Forgets which replicas were stopped once another target leads: all of them receive."""
        leader = watch.group.leadership.primary_id
        if not leader or leader == watch.led_by:
            return
        if watch.led_by:
            watch.stopped.clear()
            watch.unresumed.clear()
        if watch.order is not None and watch.order.target == leader:
            watch.order = None
        watch.led_by = leader

    def _probe_all(self, watch: GroupWatch, now: float) -> None:
        if now - watch.all_probed_at < PROBE_ALL_INTERVAL_S:
            return
        watch.all_probed_at = now
        for target in leadership.targets_to_probe(watch.group):
            self._probe(watch, target)

    def _probe(self, watch: GroupWatch, target: Target) -> None:
        if target.id not in watch.probing:
            watch.probing.add(target.id)
            gevent.spawn(self._run_probe, watch, target)

    def _run_probe(self, watch: GroupWatch, target: Target) -> None:
        try:
            if not target.idle_connections and target.open_count == 0:
                self._pool.open_in_background(watch.group, target)
            self._pool.confirm_primary(watch.group, target, PROBE_TIMEOUT_S)
        finally:
            watch.probing.discard(target.id)

    def _replace_if_needed(self, watch: GroupWatch, now: float) -> None:
        group = watch.group
        reason = failover.reason_to_replace(
            group, self._loss_reports(group), watch.absent_since, now
        )
        if reason is None:
            watch.reason_since = None
            self._resume_replicas(watch, now)
            return
        watch.reason_since = watch.reason_since or now
        if watch.preparing and now - watch.noticed_at >= NOTICE_INTERVAL_S:
            self._promoter.announce_preparation(watch)
        if watch.replacing or group.leadership.pending_primary_id:
            return
        holds_duty = self._duties.of(group).token is not None
        own_rank = vm_rank(group.name, self._settings.vm, self._peers.live_owners(group))
        if not failover.may_order_promotion(
            holds_duty, own_rank, watch.reason_since, watch.peer_acted_at, now
        ):
            return
        watch.replacing = True
        gevent.spawn(self._replace, watch, reason)

    def _loss_reports(self, group: Group) -> LossReports:
        known_leadership = group.leadership
        peers = self._peers.peers_reporting_loss(group, known_leadership.primary_id)
        own_loss = known_leadership.lost_since is not None
        refused = sum(
            any(loss.refused for loss in peer.losses if loss.group == group.name) for peer in peers
        )
        return LossReports(
            live_vms=1 + len(self._peers.live_owners(group)),
            lost=len(peers) + own_loss,
            refused=refused + (own_loss and known_leadership.connection_refused),
        )

    def _replace(self, watch: GroupWatch, reason: Reason) -> None:
        try:
            self._promoter.promote(watch, reason)
        finally:
            watch.replacing = watch.preparing = False

    def _resume_replicas(self, watch: GroupWatch, now: float) -> None:
        """Lets replicas receive again that stayed stopped although nobody is to be promoted."""
        group = watch.group
        holds_duty = self._duties.of(group).token is not None
        if not (watch.stopped and holds_duty and group.limits.synchronous_replicas):
            return
        if watch.replacing or now - watch.resume_tried_at < RESUME_INTERVAL_S:
            return
        watch.resume_tried_at = now
        watch.replacing = True
        gevent.spawn(self._run_resume, watch)

    def _run_resume(self, watch: GroupWatch) -> None:
        group = watch.group
        replicas = {target.id for target in succession.replicas(group)}
        watch.stopped &= replicas
        try:
            self._stopped_replicas.resume(watch, replicas)
        finally:
            watch.replacing = False
