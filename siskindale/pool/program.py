"""Pool service: passes all queued events to the engine in one tick and executes the effects."""

import itertools
from collections.abc import Mapping, Sequence
from typing import Any

import gevent

from siskindale.membership.assignment import CONTROLLERS_PER_GROUP, AssignmentRunner, GroupRanking
from siskindale.models.bundle import Bundle
from siskindale.models.outcomes import Outcome, Refusal
from siskindale.models.wire import (
    AliveReply,
    Answer,
    BeginRequest,
    FinishRequest,
    GroupNotice,
    PrimaryReport,
    StatementRequest,
    TransactionStatement,
)
from siskindale.pool import engine, metrics
from siskindale.pool.effects import (
    BundleAdopted,
    ConnectionLost,
    DirectoryChanged,
    Effect,
    Event,
    PrimaryAnnounced,
    Reply,
    ReportUnreachablePrimary,
    RequestArrived,
)
from siskindale.pool.systems import timers
from siskindale.pool.tables import Tables
from siskindale.pool.workers import Workers
from siskindale.runtime.health import Report
from siskindale.runtime.logs import logger
from siskindale.runtime.loop import TickLoop
from siskindale.runtime.program import ProgramComponents, load_target_driver
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.targets.interface import TargetDriver
from siskindale.transport.mailbox import Delivery

DRAIN_POLL_INTERVAL_S = 0.02
HOUSEKEEPING_INTERVAL_S = 1.0
# Housekeeping rounds between checks; a check of 300 idle connections takes 3 ms.
LOST_CONNECTIONS_CHECK_INTERVAL = 5
REQUESTS = (StatementRequest, BeginRequest, TransactionStatement, FinishRequest)


def _log_decision_error(error: Exception) -> None:
    logger().error("decision-failed", exc_info=error)


class PoolService:
    """Connects the engine to the mailbox, the targets, the bundle and the directory."""

    def __init__(self, components: ProgramComponents, driver: TargetDriver | None = None) -> None:
        self._components = components
        self._clock = components.env.clock
        self._tables = Tables(settings=components.settings, boot=components.mailbox.boot)
        self._events: list[Event] = []
        self._loop = TickLoop(self._tick, self._clock)
        self._workers = Workers(
            driver or load_target_driver(components, "pools"), self._clock, self._add_event
        )
        self._assignment = GroupRanking(components.directory)
        self._reassignment = AssignmentRunner(self._update_assignment)
        for kind in REQUESTS:
            components.mailbox.set_handler(kind, self._on_request)
        components.mailbox.set_handler(GroupNotice, self._on_notice)
        components.directory.subscribe(self._reassignment.request)
        components.bundles.subscribe(self._on_bundle)

    @property
    def tables(self) -> Tables:
        """Tables of the pool."""
        return self._tables

    @property
    def reports(self) -> Mapping[str, Report]:
        """State of the served groups, for operators."""
        return {"/groups": self._groups_report}

    def not_ready_reasons(self) -> Sequence[str]:
        """Lists why the pool takes no work; a group without a primary is not a reason."""
        return [] if self._tables.bundle is not None else ["no bundle was adopted"]

    def start(self) -> None:
        """Starts the tick loop, the reassignment and the housekeeping."""
        self._loop.start()
        self._reassignment.start()
        supervise(self._run_housekeeping)

    def drain(self) -> None:
        """Refuses new work and blocks until all requests and transactions have ended."""
        self._tables.draining = True
        for group in self._tables.groups.values():
            self._tables.mark_dirty(group)
        self._loop.wake()
        while self._tables.requests or self._tables.transactions or self._events:
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self._loop.stop()

    def _on_request(self, delivery: Delivery) -> None:
        self._add_event(RequestArrived(delivery.body, delivery, delivery.delay_s))

    def _on_notice(self, delivery: Delivery) -> None:
        self._add_event(PrimaryAnnounced(delivery.body.group, delivery.body.term))

    def _on_bundle(self, bundle: Bundle) -> None:
        self._reassignment.request()

    def _add_event(self, event: Event) -> None:
        self._events.append(event)
        self._loop.wake()

    def _tick(self, now: float) -> float | None:
        events, self._events = self._events, []
        tables = self._tables
        tables.degraded = self._components.bundles.degraded
        tables.wall_clock_offset_s = self._clock.time() - now
        for effect in engine.run_tick(
            tables, events, now, self._components.env.random, _log_decision_error
        ):
            self._execute(effect, now)
        return timers.next_due(tables)

    def _execute(self, effect: Effect, now: float) -> None:
        if isinstance(effect, Reply):
            self._reply(effect, now)
        elif isinstance(effect, ReportUnreachablePrimary):
            self._report_unreachable_primary(effect)
        else:
            self._workers.execute(effect)

    def _report_unreachable_primary(self, effect: ReportUnreachablePrimary) -> None:
        controllers = self._tables.ranks.get(effect.group, ())[:CONTROLLERS_PER_GROUP]
        members = {member.vm: member for member in self._components.directory.members}
        report = PrimaryReport(effect.group, effect.term)
        for member in (members[vm] for vm in controllers if vm in members):
            self._components.mailbox.send(member.controller.inbox_url, report)

    def _reply(self, effect: Reply, now: float) -> None:
        metrics.count_answer(effect, now)
        answer, delivery = effect.answer, effect.reply_handle
        if answer.refusal is not None:
            self._log_refusal(answer, answer.refusal)
        envelope = delivery.envelope
        sent = self._components.mailbox.send(
            envelope.reply_to, answer, envelope.correlation_id, envelope.sender_boot
        )
        if not sent:
            gevent.spawn(self._components.mailbox.reply, delivery, answer)

    def _log_refusal(self, answer: Answer, refusal: Refusal) -> None:
        # There are many refusals under overload, and the entry logs every request anyway.
        log = logger().info if answer.outcome is Outcome.UNKNOWN else logger().debug
        log(
            "request-refused",
            request_id=answer.request_id,
            outcome=answer.outcome.value,
            kind=refusal.kind.value,
            detail=refusal.detail,
        )

    def _update_assignment(self) -> None:
        """Reports the ranks before the bundle, so that new groups have their ranks."""
        bundle = self._components.bundles.current
        if bundle is None:
            return
        ranks = self._assignment.rank_vms(bundle)
        self._add_event(DirectoryChanged(ranks, self._components.directory.leaving))
        if self._tables.bundle is None:
            self._announce_ready()
        if bundle is not self._tables.bundle:
            self._add_event(BundleAdopted(bundle))

    def _announce_ready(self) -> None:
        """Tells the entries to stop avoiding this VM's pool because of its earlier boot.

        Until then its requests go to a substitute, which may find all connections taken.
        """
        for member in self._components.directory.members:
            self._components.mailbox.send(member.entry.inbox_url, AliveReply())

    @long_lived("pool-housekeeping")
    def _run_housekeeping(self) -> None:
        for count in itertools.count(1):
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            metrics.update_gauges(self._tables)
            if count % LOST_CONNECTIONS_CHECK_INTERVAL == 0:
                self._find_lost_connections()
            groups = self._tables.groups.values()
            self._workers.close_other_control_clients(
                [target.definition for group in groups for target in group.targets.values()]
            )

    def _find_lost_connections(self) -> None:
        # Targets close long-idle connections; this must show before the next request uses one.
        for row in list(self._tables.connections.values()):
            if not row.busy and not row.handle.usable:
                self._add_event(ConnectionLost(row))

    def _groups_report(self) -> dict[str, Any]:
        return {
            group.name: {
                "rank": group.rank,
                "term": group.term,
                "primary": group.primary.name if group.primary else None,
                "writable": group.writable,
                "voters": list(group.voters),
                "connections": {name: len(t.open_connections) for name, t in group.targets.items()},
            }
            for group in self._tables.groups.values()
        }
