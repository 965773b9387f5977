"""Engine: processes events and due timers over the tables and returns effects."""

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from random import Random
from typing import Any

from siskindale.pool.effects import (
    BatchCompleted,
    BundleAdopted,
    ConnectionFailed,
    ConnectionLost,
    ConnectionOpened,
    DirectoryChanged,
    Effect,
    Event,
    PrimaryAnnounced,
    RequestArrived,
    StatusCompleted,
)
from siskindale.pool.stages import Phase, TimerKind
from siskindale.pool.systems import (
    acknowledgement,
    admission,
    completion,
    connections,
    discovery,
    expiry,
    freshness,
    intake,
    pruning,
    serving,
    timers,
    transactions,
)
from siskindale.pool.tables import GroupRow, Tables
from siskindale.targets.interface import TargetFailure

MAX_GROUP_PASSES = 8


DecisionCalls = Iterator[Callable[[], list[Effect]]]


def run_tick(
    tables: Tables,
    events: Iterable[Event],
    now: float,
    random: Random,
    on_error: Callable[[Exception], None] | None = None,
) -> list[Effect]:
    """Processes events and due timers and returns the effects to execute.

    If `on_error` is given, an exception in one decision does not lose the effects of the others;
    the request that it concerns ends at its deadline.
    """
    effects: list[Effect] = []
    for decision in _due_decisions(tables, events, now, random):
        try:
            effects += decision()
        except Exception as error:
            if on_error is None:
                raise
            on_error(error)
    return effects


def _due_decisions(
    tables: Tables, events: Iterable[Event], now: float, random: Random
) -> DecisionCalls:
    for event in events:
        yield partial(_EVENT_HANDLERS[type(event)], tables, event, now, random)
    for kind, subject in timers.pop_due(tables, now):
        yield partial(_TIMER_HANDLERS[kind], tables, subject, now, random)
    expiry.forget_expired_ids(tables, now)
    for _ in range(MAX_GROUP_PASSES):
        dirty, tables.dirty_groups = tables.dirty_groups, []
        for group in dirty:
            group.dirty = False
            yield partial(_process_group, tables, group, now)


def _process_group(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Runs the systems over a changed group."""
    effects: list[Effect] = []
    for request in acknowledgement.take_confirmed(group):
        effects += completion.complete_confirmed(tables, request, now)
    if group.awaiting_sample and group.pending_sample is None:
        waiting, group.awaiting_sample = group.awaiting_sample, []
        for request in waiting:
            if request.phase is Phase.WAITING:
                effects += completion.answer_replica_read(tables, request, now)
    effects += freshness.start_sample(group, now)
    effects += admission.dispatch(tables, group, now)
    effects += acknowledgement.request_confirmations(tables, group, now)
    effects += pruning.prune(tables, group, now)
    return effects + connections.maintain(tables, group, now)


def _request_arrived(tables: Tables, event: RequestArrived, now: float, _: Random) -> list[Effect]:
    return intake.request_arrived(tables, event, now)


def _batch_completed(tables: Tables, event: BatchCompleted, now: float, _: Random) -> list[Effect]:
    return completion.batch_completed(tables, event, now)


def _connection_opened(
    tables: Tables, event: ConnectionOpened, now: float, _: Random
) -> list[Effect]:
    return connections.add_opened(tables, event)


def _connection_lost(tables: Tables, event: ConnectionLost, now: float, _: Random) -> list[Effect]:
    return connections.close_lost(tables, event)


def _connection_failed(
    tables: Tables, event: ConnectionFailed, now: float, random: Random
) -> list[Effect]:
    effects = connections.delay_next_open(tables, event, now, random)
    if event.error.kind is TargetFailure.LIMIT:
        effects += admission.refuse_without_connection(tables, event.target)
    return effects


def _status_completed(
    tables: Tables, event: StatusCompleted, now: float, _: Random
) -> list[Effect]:
    group = event.target.group
    term = group.term
    waiting = discovery.status_completed(tables, event, now)
    if group.term == term:
        return []
    return completion.end_term(tables, group, waiting, now)


def _primary_announced(
    tables: Tables, event: PrimaryAnnounced, now: float, _: Random
) -> list[Effect]:
    group = tables.groups.get(event.group)
    if group is not None:
        discovery.primary_announced(tables, group, event.term, now)
    return []


def _bundle_adopted(tables: Tables, event: BundleAdopted, now: float, _: Random) -> list[Effect]:
    bundle = event.bundle
    tables.bundle = bundle
    tables.group_definitions = {group.name: group for group in bundle.groups}
    tables.classes = {entry.name: entry for entry in bundle.classes}
    tables.caller_limits = {caller.name: caller.max_in_flight for caller in bundle.callers}
    serving.update_groups(tables, now)
    return []


def _directory_changed(
    tables: Tables, event: DirectoryChanged, now: float, _: Random
) -> list[Effect]:
    tables.ranks, tables.leaving = event.ranks, event.leaving
    if tables.bundle is not None:
        serving.update_groups(tables, now)
    return []


_EVENT_HANDLERS: dict[type, Callable[[Tables, Any, float, Random], list[Effect]]] = {
    RequestArrived: _request_arrived,
    BatchCompleted: _batch_completed,
    ConnectionOpened: _connection_opened,
    ConnectionFailed: _connection_failed,
    ConnectionLost: _connection_lost,
    StatusCompleted: _status_completed,
    PrimaryAnnounced: _primary_announced,
    BundleAdopted: _bundle_adopted,
    DirectoryChanged: _directory_changed,
}


def _mark_dirty(tables: Tables, group: GroupRow, now: float, _: Random) -> list[Effect]:
    tables.mark_dirty(group)
    return []


def _confirm_due(tables: Tables, group: GroupRow, now: float, _: Random) -> list[Effect]:
    if group.confirm_timer_due <= now:
        group.confirm_timer_due = float("inf")
    tables.mark_dirty(group)
    return []


def _poll_due(tables: Tables, group: GroupRow, now: float, random: Random) -> list[Effect]:
    if now < group.next_poll_at:
        return []
    tables.mark_dirty(group)
    return discovery.poll_targets(tables, group, now, random)


_TIMER_HANDLERS: dict[TimerKind, Callable[[Tables, Any, float, Random], list[Effect]]] = {
    TimerKind.DEADLINE: lambda t, number, now, _: expiry.expire_request(t, number),
    TimerKind.RETRY: lambda t, row, now, _: admission.requeue_due(t, row, now),
    TimerKind.TRANSACTION: lambda t, row, now, _: transactions.check_deadlines(t, row, now),
    TimerKind.CONFIRM: _confirm_due,
    TimerKind.POLL: _poll_due,
    TimerKind.OPEN: _mark_dirty,
}
