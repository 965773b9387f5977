"""The pool as a service: messages and completions in, effects out, one tick for all of them."""

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
    GroupNoticed,
    Reply,
    ReportPrimary,
    RequestArrived,
)
from siskindale.pool.systems import timers
from siskindale.pool.tables import Tables
from siskindale.pool.workers import Workers
from siskindale.runtime.health import Report
from siskindale.runtime.logs import logger
from siskindale.runtime.loop import TickLoop
from siskindale.runtime.program import Parts, load_driver
from siskindale.targets.interface import TargetDriver
from siskindale.transport.mailbox import Delivery

DRAIN_POLL_S = 0.02
HOUSEKEEPING_S = 1.0
# Looking at 300 idle connections takes 3 ms.
LOST_CONNECTIONS_EVERY = 5
REQUESTS = (StatementRequest, BeginRequest, TransactionStatement, FinishRequest)


def _failed(error: Exception) -> None:
    logger().error("decision-failed", exc_info=error)


class PoolService:
    """Connects the decisions to the mailbox, the targets, the bundle and the directory."""

    def __init__(self, parts: Parts, driver: TargetDriver | None = None) -> None:
        self._parts = parts
        self._clock = parts.env.clock
        self._tables = Tables(settings=parts.settings, boot=parts.mailbox.boot)
        self._events: list[Event] = []
        self._loop = TickLoop(self._tick, self._clock)
        self._workers = Workers(driver or load_driver(parts, "pools"), self._clock, self._report)
        self._assignment = GroupRanking(parts.directory)
        self._reassignment = AssignmentRunner(self._assign)
        for kind in REQUESTS:
            parts.mailbox.on(kind, self._on_request)
        parts.mailbox.on(GroupNotice, self._on_notice)
        parts.directory.subscribe(self._reassignment.request)
        parts.bundles.subscribe(self._on_bundle)

    @property
    def tables(self) -> Tables:
        """Tables of the pool."""
        return self._tables

    @property
    def reports(self) -> Mapping[str, Report]:
        """State of the served groups, for operators."""
        return {"/groups": self._groups}

    def reasons(self) -> Sequence[str]:
        """Lists why the pool takes no work; a group without a primary is no reason."""
        return [] if self._tables.bundle is not None else ["no bundle was adopted"]

    def start(self) -> None:
        """Starts the loop."""
        self._loop.start()
        self._reassignment.start()
        gevent.spawn(self._keep_house)

    def drain(self) -> None:
        """Refuses new work and blocks until requests and transactions have ended."""
        self._tables.draining = True
        for group in self._tables.groups.values():
            self._tables.touch(group)
        self._loop.wake()
        while self._tables.requests or self._tables.transactions or self._events:
            gevent.sleep(DRAIN_POLL_S)
        self._loop.stop()

    def _on_request(self, delivery: Delivery) -> None:
        self._report(RequestArrived(delivery.body, delivery, delivery.delay_s))

    def _on_notice(self, delivery: Delivery) -> None:
        self._report(GroupNoticed(delivery.body.group, delivery.body.term))

    def _on_bundle(self, bundle: Bundle) -> None:
        self._reassignment.request()

    def _report(self, event: Event) -> None:
        self._events.append(event)
        self._loop.wake()

    def _tick(self, now: float) -> float | None:
        events, self._events = self._events, []
        tables = self._tables
        tables.degraded = self._parts.bundles.degraded
        tables.wall_offset = self._clock.time() - now
        for effect in engine.step(tables, events, now, self._parts.env.random, _failed):
            self._execute(effect, now)
        return timers.next_due(tables)

    def _execute(self, effect: Effect, now: float) -> None:
        if isinstance(effect, Reply):
            self._reply(effect, now)
        elif isinstance(effect, ReportPrimary):
            self._report_primary(effect)
        else:
            self._workers.execute(effect)

    def _report_primary(self, effect: ReportPrimary) -> None:
        controllers = self._tables.ranks.get(effect.group, ())[:CONTROLLERS_PER_GROUP]
        members = {member.vm: member for member in self._parts.directory.members}
        report = PrimaryReport(effect.group, effect.term)
        for member in (members[vm] for vm in controllers if vm in members):
            self._parts.mailbox.send(member.controller.inbox_url, report)

    def _reply(self, effect: Reply, now: float) -> None:
        metrics.answered(effect, now)
        answer, delivery = effect.answer, effect.reply
        if answer.refusal is not None:
            self._log(answer, answer.refusal)
        envelope = delivery.envelope
        sent = self._parts.mailbox.send(
            envelope.reply_to, answer, envelope.correlation_id, envelope.sender_boot
        )
        if not sent:
            gevent.spawn(self._parts.mailbox.reply, delivery, answer)

    def _log(self, answer: Answer, refusal: Refusal) -> None:
        # Refusals come in masses under overload; the entry logs every request anyway.
        log = logger().info if answer.outcome is Outcome.UNKNOWN else logger().debug
        log(
            "request-refused",
            request_id=answer.request_id,
            outcome=answer.outcome.value,
            kind=refusal.kind.value,
            detail=refusal.detail,
        )

    def _assign(self) -> None:
        """Ranks the pools before the bundle is adopted, so that new groups have their ranks."""
        bundle = self._parts.bundles.current
        if bundle is None:
            return
        ranks = self._assignment.rank_vms(bundle)
        self._report(DirectoryChanged(ranks, self._parts.directory.leaving))
        if self._tables.bundle is None:
            self._announce_ready()
        if bundle is not self._tables.bundle:
            self._report(BundleAdopted(bundle))

    def _announce_ready(self) -> None:
        """Ends at once that entries avoid this VM's pool because of its earlier boot.

        Until then a substitute gets the requests, which may find all connections taken.
        """
        for member in self._parts.directory.members:
            self._parts.mailbox.send(member.entry.inbox_url, AliveReply())

    def _keep_house(self) -> None:
        for count in itertools.count(1):
            gevent.sleep(HOUSEKEEPING_S)
            metrics.collect(self._tables)
            if count % LOST_CONNECTIONS_EVERY == 0:
                self._find_lost_connections()
            served = self._tables.groups.values()
            self._workers.keep_controls(
                [target.definition for group in served for target in group.targets.values()]
            )

    def _find_lost_connections(self) -> None:
        # Targets close connections that are idle for long; the next request must not find out.
        for row in list(self._tables.connections.values()):
            if not row.busy and not row.handle.usable:
                self._report(ConnectionLost(row))

    def _groups(self) -> dict[str, Any]:
        return {
            group.name: {
                "rank": group.rank,
                "term": group.term,
                "primary": group.primary.name if group.primary else None,
                "writable": group.writable,
                "voters": list(group.voters),
                "connections": {name: len(t.open) for name, t in group.targets.items()},
            }
            for group in self._tables.groups.values()
        }
