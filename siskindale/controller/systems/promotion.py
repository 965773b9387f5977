"""Promotion: fence a majority, promote the best log, let the others follow, wait for the marker.

Every step is safe to repeat and harmless after a pause, because a target refuses a term that is
not above its own and a term is used by one promotion only.

The design page asks for a majority of the voters of the best log's marker. That is enough only
once the marker is known to be held by majorities of both its voter sets. Before that, two
unfinished changes of the same even set of voters have majorities that do not overlap, so a
promotion then fences majorities of both sets and returns to the previous voters, which keeps
both sets in the new marker.
"""

import attrs

from siskindale.controller import views
from siskindale.controller.effects import AnnouncePrimary, Effect, Operation, Record, TargetCall
from siskindale.controller.systems import terms
from siskindale.controller.tables import GroupRow, PromotionRow, Stage, Tables
from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role, TargetStatus
from siskindale.targets.interface import TargetError

# The whole attempt; a failed one counts for the minimum interval of 5 s anyway.
ATTEMPT_S = 3.0
# After this the avoided targets are fenced too, and the preferred one is not waited for; a few
# round trips of 3 ms and a slow target.
AVOID_S = 0.2
CALL_TIMEOUT_S = 0.5
WAIT_TIMEOUT_S = 0.5
RETRY_S = 0.05


def start(tables: Tables, row: GroupRow, planned: PromotionRow, now: float) -> list[Effect]:
    """Starts a promotion under a reserved term; records once that there is none."""
    term = terms.take(tables, row.name)
    if term is None:
        if row.reported == "no-term":
            return []
        row.reported = "no-term"
        return [Record("promotion-without-term", row.name, {"reason": planned.reason})]
    row.reported = ""
    row.attempts.append(now)
    planned.term = term
    tables.promotions[row.name] = planned
    fields = {"term": term, "reason": planned.reason, "avoid": sorted(planned.avoid)}
    if planned.voters is not None:
        fields["voters"] = planned.voters
    return [Record("promotion-started", row.name, fields), *_advance(tables, row, planned, now)]


def run(tables: Tables, now: float) -> list[Effect]:
    """Moves every promotion on and ends those that took too long."""
    found = [(tables.groups.get(p.group), p) for p in list(tables.promotions.values())]
    return [e for row, p in found for e in _advance(tables, row, p, now)]


def next_at(tables: Tables) -> float | None:
    """Returns the time of the next retry."""
    return min((_next_step(p) for p in tables.promotions.values()), default=None)


def on_answer(
    tables: Tables, call: TargetCall, result: TargetStatus | TargetError, now: float
) -> list[Effect]:
    """Takes the answer to a call of a promotion; a late answer to an ended one is dropped."""
    row, current = tables.groups.get(call.group), tables.promotions.get(call.group)
    if row is None or current is None or current.term != call.promotion:
        return []
    current.busy.discard(call.target.name)
    if isinstance(result, TargetError):
        current.uncertain.add(call.target.name)
        current.retry_at[call.target.name] = now + RETRY_S
        return _advance(tables, row, current, now)
    current.uncertain.discard(call.target.name)
    if call.operation is Operation.WAIT:
        current.retry_at[call.target.name] = now + RETRY_S
    if result.term > current.term:
        return _end(tables, row, current, "superseded", now, by_term=result.term)
    _take(current, result)
    return _advance(tables, row, current, now)


def may_promote_best(row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus) -> bool:
    """Whether the fenced targets prove that no acknowledged write lies beyond the best log."""
    if best.marker == LogPosition():
        # Before the first marker nothing names the voters, so all targets of the bundle count.
        return set(row.group.voters) <= set(fenced)
    known = best.marker <= row.committed
    previous = () if known else best.previous_voters
    return views.has_majority(fenced, best.voters) and views.has_majority(fenced, previous)


def next_voters(row: GroupRow, current: PromotionRow, best: TargetStatus) -> tuple[str, ...]:
    """Returns the voters of the new marker: changed by one target and from a known marker only."""
    if best.marker == LogPosition():
        return current.voters or row.group.voters
    if best.marker > row.committed:
        return best.previous_voters or best.voters
    wanted = current.voters
    if wanted is None or current.base != best.marker or best.name not in wanted:
        return best.voters
    return wanted if len(set(wanted) ^ set(best.voters)) <= 1 else best.voters


def choose_best(current: PromotionRow) -> TargetStatus:
    """Returns the fenced target with the highest log; among equals a wanted one."""
    return max(
        current.fenced.values(),
        key=lambda s: (s.log, s.name not in current.avoid, s.name == current.preferred, s.name),
    )


def _take(current: PromotionRow, status: TargetStatus) -> None:
    """Sorts a status into the sets that the stages wait for."""
    if status.term != current.term:
        return
    if status.role is Role.FENCED:
        current.fenced.setdefault(status.name, status)
    elif status.role is Role.PRIMARY:
        current.promoted = status
    elif status.role is Role.REPLICA:
        current.following.add(status.name)
    if current.promoted is not None and views.holds(status, current.promoted.marker):
        current.holders.add(status.name)


def _advance(
    tables: Tables, row: GroupRow | None, current: PromotionRow, now: float
) -> list[Effect]:
    if row is None or now - current.started_at >= ATTEMPT_S:
        return _end(tables, row, current, "failed", now)
    if current.stage is Stage.FENCING:
        _try_choose(row, current, now)
    if current.stage is Stage.PROMOTING and current.promoted is not None:
        current.stage = Stage.CONFIRMING
    if current.stage is Stage.CONFIRMING and _is_confirmed(current):
        return _end(tables, row, current, "done", now)
    return list(_STEPS[current.stage](row, current, now))


def _try_choose(row: GroupRow, current: PromotionRow, now: float) -> None:
    waiting = bool(current.preferred) and current.preferred not in current.fenced
    if not current.fenced or (waiting and now - current.started_at < AVOID_S):
        return
    best = choose_best(current)
    if may_promote_best(row, current.fenced, best):
        current.stage, current.chosen = Stage.PROMOTING, best.name
        current.new_voters = next_voters(row, current, best)


def _is_confirmed(current: PromotionRow) -> bool:
    marker = current.promoted
    if marker is None:
        return False
    return views.has_majority(current.holders, marker.voters) and views.has_majority(
        current.holders, marker.previous_voters
    )


def _fence(row: GroupRow, current: PromotionRow, now: float) -> list[Effect]:
    others = set(row.targets) - current.avoid
    tried = others <= current.fenced.keys() | current.uncertain
    names = set(row.targets) if tried or now - current.started_at >= AVOID_S else others
    return _call(row, current, names - current.fenced.keys(), Operation.FENCE, now)


def _promote(row: GroupRow, current: PromotionRow, now: float) -> list[Effect]:
    return _call(row, current, {current.chosen}, Operation.PROMOTE, now)


def _confirm(row: GroupRow, current: PromotionRow, now: float) -> list[Effect]:
    others = set(row.targets) - {current.chosen}
    waiting = (others & current.following) - current.holders
    return [
        *_call(row, current, others - current.following, Operation.FOLLOW, now),
        *_call(row, current, waiting, Operation.WAIT, now),
    ]


_STEPS = {Stage.FENCING: _fence, Stage.PROMOTING: _promote, Stage.CONFIRMING: _confirm}


def _call(
    row: GroupRow, current: PromotionRow, names: set[str], operation: Operation, now: float
) -> list[Effect]:
    """Returns calls to idle targets; one whose state is uncertain is asked for it first."""
    due = sorted(
        n for n in names - current.busy if n in row.targets and current.retry_at.get(n, 0.0) <= now
    )
    current.busy.update(due)
    return [_target_call(row, current, row.targets[n].target, operation) for n in due]


def _target_call(
    row: GroupRow, current: PromotionRow, target: Target, operation: Operation
) -> TargetCall:
    call = TargetCall(row.name, target, Operation.STATUS, CALL_TIMEOUT_S, promotion=current.term)
    if target.name in current.uncertain:
        return call
    chosen = row.targets[current.chosen].target if current.chosen in row.targets else None
    marker = current.promoted.marker if current.promoted else LogPosition()
    return attrs.evolve(
        call,
        operation=operation,
        timeout_s=WAIT_TIMEOUT_S if operation is Operation.WAIT else CALL_TIMEOUT_S,
        term=current.term,
        position=marker.position,
        voters=current.new_voters,
        primary=chosen if operation is Operation.FOLLOW else None,
    )


def _end(
    tables: Tables,
    row: GroupRow | None,
    current: PromotionRow,
    outcome: str,
    now: float,
    **fields: int,
) -> list[Effect]:
    del tables.promotions[current.group]
    record = Record(
        "promotion-ended",
        current.group,
        {
            "term": current.term,
            "outcome": outcome,
            "stage": current.stage.name.lower(),
            "primary": current.chosen,
            "seconds": round(now - current.started_at, 4),
            **fields,
        },
    )
    if outcome != "done" or current.promoted is None:
        return [record]
    voters = current.promoted.voters
    return [record, AnnouncePrimary(current.group, current.term, current.chosen, voters)]


def _next_step(current: PromotionRow) -> float:
    waits = [at for name, at in current.retry_at.items() if name not in current.busy]
    times = [current.started_at + ATTEMPT_S, *waits]
    if current.stage is Stage.FENCING:
        times.append(current.started_at + AVOID_S)
    return min(times)
