"""The controller as a service: executes effects, and passes answers and messages to the systems."""

from collections.abc import Mapping, Sequence
from typing import Any

import gevent

from siskindale.controller import decisions, metrics
from siskindale.controller.calls import TargetCaller, TermStore
from siskindale.controller.effects import (
    AnnouncePrimary,
    AskPeer,
    CommitTerms,
    Effect,
    LogEvent,
    ReadTerms,
    TargetCall,
)
from siskindale.controller.systems import assignment, detection, probing, terms
from siskindale.controller.tables import Tables
from siskindale.membership.assignment import AssignmentRunner, GroupRanking
from siskindale.models.bundle import Bundle
from siskindale.models.group import TargetStatus
from siskindale.models.wire import (
    GroupNotice,
    PrimaryCheckReply,
    PrimaryCheckRequest,
    PrimaryReport,
)
from siskindale.runtime.health import Report
from siskindale.runtime.logs import logger
from siskindale.runtime.loop import TickLoop
from siskindale.runtime.program import ProgramComponents, load_target_driver
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.store.interface import PlatformFailure, Row
from siskindale.targets.interface import TargetDriver, TargetError
from siskindale.transport.mailbox import Delivery

DRAIN_POLL_INTERVAL_S = 0.02
HOUSEKEEPING_INTERVAL_S = 1.0


class ControllerService:
    """Connects the decision logic to the targets, the store, the mailbox and the directory."""

    def __init__(self, components: ProgramComponents, driver: TargetDriver | None = None) -> None:
        self._components = components
        self._clock = components.env.clock
        self._tables = Tables(components.settings.vm)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._assigned = False
        self._loop = TickLoop(self._tick, self._clock)
        self._target_caller = TargetCaller(
            driver or load_target_driver(components, "controllers"),
            self._clock,
            self._on_target_answer,
        )
        self._term_store = TermStore(
            components.platform.tables, self._on_terms_read, self._on_terms_commit
        )
        components.platform.tables.on_restored(self._on_store_restored)
        self._group_ranking = GroupRanking(components.directory)
        self._assignment_runner = AssignmentRunner(self._assign)
        components.mailbox.set_handler(PrimaryCheckRequest, self._on_primary_check_request)
        components.mailbox.set_handler(PrimaryCheckReply, self._on_primary_check_reply)
        components.mailbox.set_handler(GroupNotice, self._on_group_notice)
        components.mailbox.set_handler(PrimaryReport, self._on_primary_report)
        components.directory.subscribe(self._assignment_runner.request)
        components.bundles.subscribe(self._on_bundle)

    @property
    def reports(self) -> Mapping[str, Report]:
        """Reports for operators: the state of the controlled groups."""
        return {"/groups": self._group_report}

    def not_ready_reasons(self) -> Sequence[str]:
        """Lists why the controller is not ready."""
        return [] if self._assigned else ["no bundle was adopted"]

    def start(self) -> None:
        """Starts the tick loop and the background tasks."""
        self._loop.start()
        self._assignment_runner.start()
        supervise(self._run_housekeeping)

    def drain(self) -> None:
        """Prevents new promotions and blocks until those in progress have ended."""
        self._tables.draining = True
        while self._tables.promotions:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self._loop.stop()

    def _tick(self, now: float) -> float | None:
        self._execute(decisions.tick(self._tables, now, self._components.env.random))
        return decisions.next_tick_at(self._tables, now)

    def _execute(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case TargetCall():
                    self._target_caller.call(effect)
                case ReadTerms():
                    self._term_store.read(effect)
                case CommitTerms():
                    self._term_store.commit(effect)
                case AskPeer():
                    request = PrimaryCheckRequest(effect.group, effect.term, effect.primary)
                    self._components.mailbox.send(effect.url, request)
                case AnnouncePrimary():
                    self._announce(effect)
                case LogEvent():
                    metrics.count_event(effect)
                    logger().info(effect.name, group=effect.group, **effect.fields)

    def _announce(self, effect: AnnouncePrimary) -> None:
        """Notifies the group's pools and its other controllers."""
        bundle = self._components.bundles.current
        count = bundle.pools_per_group if bundle else 0
        ranked = self._ranks.get(effect.group, ())
        members = {member.vm: member for member in self._components.directory.members}
        pools = [members[vm].pool.inbox_url for vm in ranked[:count] if vm in members]
        row = self._tables.groups.get(effect.group)
        peers = [peer.url for peer in row.peers] if row else []
        notice = GroupNotice(effect.group, effect.term, effect.primary, effect.voters)
        for url in (*pools, *peers):
            self._components.mailbox.send(url, notice)

    def _on_target_answer(
        self, call: TargetCall, result: TargetStatus | TargetError, sent_at: float
    ) -> None:
        if not call.promotion_term:
            kind = result.kind.value if isinstance(result, TargetError) else "ok"
            metrics.PROBES.labels(kind).inc()
        now = self._clock.monotonic()
        self._execute(decisions.on_answer(self._tables, call, result, sent_at, now))
        self._loop.wake()

    def _on_terms_read(self, group: str, found: Row | PlatformFailure | None) -> None:
        self._execute(terms.on_read(self._tables, group, found, self._clock.monotonic()))
        self._loop.wake()

    def _on_terms_commit(self, call: CommitTerms, failure: PlatformFailure | None) -> None:
        self._execute(terms.on_commit(self._tables, call, failure, self._clock.monotonic()))
        self._loop.wake()

    def _on_store_restored(self, era: int) -> None:
        self._tables.store_era = era

    def _on_primary_check_request(self, delivery: Delivery) -> None:
        reply = detection.answer_peer(self._tables, delivery.body, self._clock.monotonic())
        if reply is not None:
            self._components.mailbox.send(delivery.envelope.reply_to, reply)

    def _on_primary_check_reply(self, delivery: Delivery) -> None:
        vm = delivery.envelope.sender.partition("/")[0]
        detection.record_peer_answer(self._tables, vm, delivery.body, self._clock.monotonic())
        self._loop.wake()

    def _on_group_notice(self, delivery: Delivery) -> None:
        probing.probe_now(self._tables, delivery.body.group)
        self._loop.wake()

    def _on_primary_report(self, delivery: Delivery) -> None:
        vm = delivery.envelope.sender.partition("/")[0]
        detection.record_pool_report(self._tables, vm, delivery.body, self._clock.monotonic())
        self._loop.wake()

    def _on_bundle(self, bundle: Bundle) -> None:
        self._assignment_runner.request()

    def _assign(self) -> None:
        bundle, directory = self._components.bundles.current, self._components.directory
        if bundle is None:
            return
        ranks = self._group_ranking.rank_vms(bundle)
        inbox_urls = {m.vm: m.controller.inbox_url for m in directory.members}
        assignment.update_groups(self._tables, bundle, ranks, inbox_urls, self._clock.monotonic())
        self._tables.leaving, self._ranks, self._assigned = directory.leaving, ranks, True
        self._loop.wake()

    @long_lived("controller-housekeeping")
    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            metrics.update_gauges(self._tables, self._clock.monotonic())
            rows = self._tables.groups.values()
            self._target_caller.close_clients_except(
                t.target for row in rows for t in row.targets.values()
            )

    def _group_report(self) -> dict[str, Any]:
        return {
            row.name: {
                "rank": row.rank,
                "term": row.highest_term,
                "targets": {s.name: f"{s.role} at term {s.term}" for s in row.statuses},
                "committed": [row.committed_marker.term, row.committed_marker.position],
                "reserved_terms": self._tables.terms[row.name].terms,
                "promoting": row.name in self._tables.promotions,
            }
            for row in self._tables.groups.values()
        }
