"""One tick of all systems, and the routing of answers to them."""

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

# Systems without a timer of their own look at the rows this often, at the latest.
IDLE_S = 0.25


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


def next_tick(tables: Tables, now: float) -> float:
    """Returns the time of the next timer of any system."""
    systems = (probing, promotion, detection, terms)
    found = [at for system in systems if (at := system.next_at(tables)) is not None]
    return max(now, min([*found, now + IDLE_S]))


def on_answer(
    tables: Tables,
    call: TargetCall,
    result: TargetStatus | TargetError,
    sent_at: float,
    now: float,
) -> list[Effect]:
    """Takes the answer to any call to a target."""
    row = tables.groups.get(call.group)
    target = row.targets.get(call.target.name) if row else None
    if target is not None and call.operation is Operation.STATUS and not call.promotion:
        target.probing = False
    if isinstance(result, TargetStatus):
        probing.observe(tables, call.group, call.target.name, result, sent_at, now)
    return promotion.on_answer(tables, call, result, now) if call.promotion else []
