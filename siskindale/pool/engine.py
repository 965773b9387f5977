"""One tick of the pool: events in, decisions over the tables, effects out."""

from collections.abc import Callable, Iterable, Iterator
from functools import partial
from random import Random
from typing import Any

from siskindale.pool.effects import (
    BatchEnded,
    BundleAdopted,
    ConnectionFailed,
    ConnectionLost,
    ConnectionOpened,
    DirectoryChanged,
    Effect,
    Event,
    GroupNoticed,
    RequestArrived,
    StatusEnded,
)
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
    timers,
    transactions,
)
from siskindale.pool.tables import GroupRow, Phase, Tables, TimerKind
from siskindale.targets.interface import TargetFailure

MAX_ROUNDS = 8


Work = Iterator[Callable[[], list[Effect]]]


def step(
    tables: Tables,
    events: Iterable[Event],
    now: float,
    random: Random,
    on_error: Callable[[Exception], None] | None = None,
) -> list[Effect]:
    """Takes events in, runs what is due and returns the effects to execute.

    With `on_error` a fault in one decision does not lose the effects of the others; the request
    that it concerns ends at its deadline.
    """
    effects: list[Effect] = []
    for part in _parts(tables, events, now, random):
        try:
            effects += part()
        except Exception as error:
            if on_error is None:
                raise
            on_error(error)
    return effects


def _parts(tables: Tables, events: Iterable[Event], now: float, random: Random) -> Work:
    for event in events:
        yield partial(_EVENTS[type(event)], tables, event, now, random)
    for kind, subject in timers.pop_due(tables, now):
        yield partial(_TIMERS[kind], tables, subject, now, random)
    expiry.forget_seen(tables, now)
    for _ in range(MAX_ROUNDS):
        dirty, tables.dirty = tables.dirty, []
        for group in dirty:
            group.dirty = False
            yield partial(_settle, tables, group, now)


def _settle(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Runs the systems over one changed group."""
    effects: list[Effect] = []
    for request in acknowledgement.evaluate(group):
        effects += completion.confirmed(tables, request, now)
    if group.parked and group.sampling is None:
        parked, group.parked = group.parked, []
        for request in parked:
            if request.phase is Phase.WAITING:
                effects += completion.check_age(tables, request, now)
    effects += freshness.sample(group, now)
    effects += admission.dispatch(tables, group, now)
    effects += acknowledgement.confirmations(tables, group, now)
    effects += pruning.prune(tables, group, now)
    return effects + connections.maintain(tables, group, now)


def _request(tables: Tables, event: RequestArrived, now: float, _: Random) -> list[Effect]:
    return intake.arrived(tables, event, now)


def _batch(tables: Tables, event: BatchEnded, now: float, _: Random) -> list[Effect]:
    return completion.ended(tables, event, now)


def _opened(tables: Tables, event: ConnectionOpened, now: float, _: Random) -> list[Effect]:
    return connections.opened(tables, event)


def _lost(tables: Tables, event: ConnectionLost, now: float, _: Random) -> list[Effect]:
    return connections.lost(tables, event)


def _open_failed(
    tables: Tables, event: ConnectionFailed, now: float, random: Random
) -> list[Effect]:
    effects = connections.failed(tables, event, now, random)
    if event.error.kind is TargetFailure.LIMIT:
        effects += admission.refuse_starved(tables, event.target)
    return effects


def _status(tables: Tables, event: StatusEnded, now: float, _: Random) -> list[Effect]:
    group = event.target.group
    term = group.term
    waiting = discovery.answered(tables, event, now)
    if group.term == term:
        return []
    return completion.term_ended(tables, group, waiting, now)


def _noticed(tables: Tables, event: GroupNoticed, now: float, _: Random) -> list[Effect]:
    group = tables.groups.get(event.group)
    if group is not None:
        discovery.noticed(tables, group, event.term, now)
    return []


def _bundle(tables: Tables, event: BundleAdopted, now: float, _: Random) -> list[Effect]:
    bundle = event.bundle
    tables.bundle = bundle
    tables.definitions = {group.name: group for group in bundle.groups}
    tables.classes = {entry.name: entry for entry in bundle.classes}
    tables.caller_limits = {caller.name: caller.max_in_flight for caller in bundle.callers}
    discovery.refresh(tables, now)
    return []


def _directory(tables: Tables, event: DirectoryChanged, now: float, _: Random) -> list[Effect]:
    tables.ranks, tables.leaving = event.ranks, event.leaving
    if tables.bundle is not None:
        discovery.refresh(tables, now)
    return []


_EVENTS: dict[type, Callable[[Tables, Any, float, Random], list[Effect]]] = {
    RequestArrived: _request,
    BatchEnded: _batch,
    ConnectionOpened: _opened,
    ConnectionFailed: _open_failed,
    ConnectionLost: _lost,
    StatusEnded: _status,
    GroupNoticed: _noticed,
    BundleAdopted: _bundle,
    DirectoryChanged: _directory,
}


def _touch(tables: Tables, group: GroupRow, now: float, _: Random) -> list[Effect]:
    tables.touch(group)
    return []


def _confirm_due(tables: Tables, group: GroupRow, now: float, _: Random) -> list[Effect]:
    if group.confirm_due <= now:
        group.confirm_due = float("inf")
    tables.touch(group)
    return []


def _poll_due(tables: Tables, group: GroupRow, now: float, random: Random) -> list[Effect]:
    if now < group.poll_due:
        return []
    tables.touch(group)
    return discovery.poll(tables, group, now, random)


_TIMERS: dict[TimerKind, Callable[[Tables, Any, float, Random], list[Effect]]] = {
    TimerKind.DEADLINE: lambda t, number, now, _: expiry.deadline(t, number),
    TimerKind.RETRY: lambda t, row, now, _: admission.retry_due(t, row, now),
    TimerKind.TRANSACTION: lambda t, row, now, _: transactions.due(t, row, now),
    TimerKind.CONFIRM: _confirm_due,
    TimerKind.POLL: _poll_due,
    TimerKind.OPEN: _touch,
}
