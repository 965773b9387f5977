"""The controller as a service: effects of the systems out, answers and messages in."""

from collections.abc import Mapping, Sequence
from typing import Any

import gevent

from siskindale.controller import decisions, metrics
from siskindale.controller.effects import (
    AnnouncePrimary,
    AskSight,
    CommitTerms,
    Effect,
    ReadTerms,
    Record,
    TargetCall,
)
from siskindale.controller.probes import Store, Targets
from siskindale.controller.systems import assignment, detection, probing, terms
from siskindale.controller.tables import Tables
from siskindale.membership.assignment import Assignment, Reassignment
from siskindale.models.bundle import Bundle
from siskindale.models.group import TargetStatus
from siskindale.models.wire import GroupNotice, PrimaryReport, SightReply, SightRequest
from siskindale.runtime.health import Report
from siskindale.runtime.logs import logger
from siskindale.runtime.loop import TickLoop
from siskindale.runtime.program import Parts, load_driver
from siskindale.store.interface import PlatformFailure, Row
from siskindale.targets.interface import TargetDriver, TargetError
from siskindale.transport.mailbox import Delivery

DRAIN_POLL_S = 0.02
HOUSEKEEPING_S = 1.0


class ControllerService:
    """Connects the decisions to the targets, the store, the mailbox and the directory."""

    def __init__(self, parts: Parts, driver: TargetDriver | None = None) -> None:
        self._parts = parts
        self._clock = parts.env.clock
        self._tables = Tables(parts.settings.vm)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._assigned = False
        self._loop = TickLoop(self._tick, self._clock)
        self._targets = Targets(
            driver or load_driver(parts, "controllers"), self._clock, self._on_target
        )
        self._store = Store(parts.platform.tables, self._on_read, self._on_commit)
        self._assignment = Assignment(parts.directory)
        self._reassignment = Reassignment(self._assign)
        parts.mailbox.on(SightRequest, self._on_sight_request)
        parts.mailbox.on(SightReply, self._on_sight_reply)
        parts.mailbox.on(GroupNotice, self._on_notice)
        parts.mailbox.on(PrimaryReport, self._on_report)
        parts.directory.subscribe(self._reassignment.request)
        parts.bundles.subscribe(self._on_bundle)

    @property
    def reports(self) -> Mapping[str, Report]:
        """State of the controlled groups, for operators."""
        return {"/groups": self._groups}

    def reasons(self) -> Sequence[str]:
        """Lists why the controller is not ready."""
        return [] if self._assigned else ["no bundle was adopted"]

    def start(self) -> None:
        """Starts the loop."""
        self._loop.start()
        self._reassignment.start()
        gevent.spawn(self._keep_house)

    def drain(self) -> None:
        """Starts no promotion and blocks until those in progress have ended."""
        self._tables.draining = True
        while self._tables.promotions:
            gevent.sleep(DRAIN_POLL_S)
        self._loop.stop()

    def _tick(self, now: float) -> float | None:
        self._execute(decisions.tick(self._tables, now, self._parts.env.random))
        return decisions.next_tick(self._tables, now)

    def _execute(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            match effect:
                case TargetCall():
                    self._targets.call(effect)
                case ReadTerms():
                    self._store.read(effect)
                case CommitTerms():
                    self._store.commit(effect)
                case AskSight():
                    request = SightRequest(effect.group, effect.term, effect.primary)
                    self._parts.mailbox.send(effect.url, request)
                case AnnouncePrimary():
                    self._announce(effect)
                case Record():
                    metrics.recorded(effect)
                    logger().info(effect.event, group=effect.group, **effect.fields)

    def _announce(self, effect: AnnouncePrimary) -> None:
        """Tells the group's pools and its other controllers."""
        bundle = self._parts.bundles.current
        count = bundle.pools_per_group if bundle else 0
        ranked = self._ranks.get(effect.group, ())
        members = {member.vm: member for member in self._parts.directory.members}
        pools = [members[vm].pool.inbox_url for vm in ranked[:count] if vm in members]
        row = self._tables.groups.get(effect.group)
        peers = [peer.url for peer in row.peers] if row else []
        notice = GroupNotice(effect.group, effect.term, effect.primary, effect.voters)
        for url in (*pools, *peers):
            self._parts.mailbox.send(url, notice)

    def _on_target(
        self, call: TargetCall, result: TargetStatus | TargetError, sent_at: float
    ) -> None:
        if not call.promotion:
            kind = result.kind.value if isinstance(result, TargetError) else "ok"
            metrics.PROBES.labels(kind).inc()
        now = self._clock.monotonic()
        self._execute(decisions.on_answer(self._tables, call, result, sent_at, now))
        self._loop.wake()

    def _on_read(self, group: str, found: Row | PlatformFailure | None) -> None:
        self._execute(terms.on_read(self._tables, group, found, self._clock.monotonic()))
        self._loop.wake()

    def _on_commit(self, call: CommitTerms, failure: PlatformFailure | None) -> None:
        self._execute(terms.on_commit(self._tables, call, failure, self._clock.monotonic()))
        self._loop.wake()

    def _on_sight_request(self, delivery: Delivery) -> None:
        reply = detection.answer(self._tables, delivery.body, self._clock.monotonic())
        if reply is not None:
            self._parts.mailbox.send(delivery.envelope.reply_to, reply)

    def _on_sight_reply(self, delivery: Delivery) -> None:
        vm = delivery.envelope.sender.partition("/")[0]
        detection.note_sight(self._tables, vm, delivery.body, self._clock.monotonic())
        self._loop.wake()

    def _on_notice(self, delivery: Delivery) -> None:
        probing.hasten(self._tables, delivery.body.group)
        self._loop.wake()

    def _on_report(self, delivery: Delivery) -> None:
        vm = delivery.envelope.sender.partition("/")[0]
        detection.note_report(self._tables, vm, delivery.body, self._clock.monotonic())
        self._loop.wake()

    def _on_bundle(self, bundle: Bundle) -> None:
        self._reassignment.request()

    def _assign(self) -> None:
        bundle, directory = self._parts.bundles.current, self._parts.directory
        if bundle is None:
            return
        ranks = self._assignment.rank(bundle)
        inboxes = {m.vm: m.controller.inbox_url for m in directory.members}
        assignment.run(self._tables, bundle, ranks, inboxes, self._clock.monotonic())
        self._tables.leaving, self._ranks, self._assigned = directory.leaving, ranks, True
        self._loop.wake()

    def _keep_house(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            metrics.collect(self._tables, self._clock.monotonic())
            rows = self._tables.groups.values()
            self._targets.keep(t.target for row in rows for t in row.targets.values())

    def _groups(self) -> dict[str, Any]:
        return {
            row.name: {
                "rank": row.rank,
                "term": row.top_term,
                "targets": {s.name: f"{s.role} at term {s.term}" for s in row.statuses},
                "committed": [row.committed.term, row.committed.position],
                "reserved_terms": self._tables.terms[row.name].terms,
                "promoting": row.name in self._tables.promotions,
            }
            for row in self._tables.groups.values()
        }
