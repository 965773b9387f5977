"""Runs all systems in one tick and passes answers on to them."""

from random import Random

from siskindale.controller.effects import Effect, Operation, TargetCall
from siskindale.controller.systems import (
    bootstrap,
    detection,
    membership,
    probing,
    promotion,
    terms,
)
from siskindale.controller.tables import Tables
from siskindale.models.group import TargetStatus
from siskindale.targets.interface import TargetError

# Upper limit for the time between ticks, for systems that have no timer of their own.
MAX_TICK_INTERVAL_S = 0.25


def tick(tables: Tables, now: float, random: Random) -> list[Effect]:
    """Runs all systems over the tables and returns their effects."""
    return [
        *probing.run(tables, now),
        *promotion.run(tables, now),
        *detection.run(tables, now),
        *bootstrap.run(tables, now),
        *membership.run(tables, now),
        *terms.run(tables, now, random),
    ]


def next_tick_at(tables: Tables, now: float) -> float:
    """Returns when the next tick is due."""
    systems = (probing, promotion, detection, terms)
    due_times = [at for system in systems if (at := system.next_due_at(tables)) is not None]
    return max(now, min([*due_times, now + MAX_TICK_INTERVAL_S]))


def on_answer(
    tables: Tables,
    call: TargetCall,
    result: TargetStatus | TargetError,
    sent_at: float,
    now: float,
) -> list[Effect]:
    """Handles the answer to a call to a target."""
    row = tables.groups.get(call.group)
    target = row.targets.get(call.target.name) if row else None
    if target is not None and call.operation is Operation.STATUS and not call.promotion_term:
        target.probe_in_flight = False
    if isinstance(result, TargetStatus):
        probing.record_status(tables, call.group, call.target.name, result, sent_at, now)
    return promotion.on_answer(tables, call, result, now) if call.promotion_term else []
