"""Promotion: fence a majority, promote the best log, redirect the others, replicate the marker.

Every step may be repeated, also after a pause: a target refuses a term that is not above its own,
and each term is used by one promotion only.

The design asks for a majority of the voters of the best log's marker. That suffices only once the
marker is known to be on majorities of both its voter sets. Until then, two unfinished changes of
the same even set of voters have majorities that do not overlap, so a promotion then fences
majorities of both sets and returns to the previous voters, which keeps both sets in the new marker.
"""

import attrs

from siskindale.controller import views
from siskindale.controller.effects import AnnouncePrimary, Effect, LogEvent, Operation, TargetCall
from siskindale.controller.systems import terms
from siskindale.controller.tables import GroupRow, PromotionRow, PromotionStage, Tables
from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role, TargetStatus
from siskindale.targets.interface import TargetError

# Limit of a whole promotion; a failed one still counts for the minimum interval of 5 s.
ATTEMPT_TIMEOUT_S = 3.0
# After this time avoided targets are fenced too, and the preferred primary is no longer waited for.
# Allows for a few round trips of 3 ms and a slow target.
PREFERENCE_TIMEOUT_S = 0.2
CALL_TIMEOUT_S = 0.5
WAIT_TIMEOUT_S = 0.5
RETRY_S = 0.05


def start(tables: Tables, row: GroupRow, planned: PromotionRow, now: float) -> list[Effect]:
    """Starts a promotion with a reserved term; a lack of terms is logged once."""
    term = terms.take_term(tables, row.name)
    if term is None:
        if row.lack_of_terms_logged:
            return []
        row.lack_of_terms_logged = True
        return [LogEvent("promotion-without-term", row.name, {"reason": planned.reason})]
    row.last_logged_reason = ""
    row.lack_of_terms_logged = False
    row.promotion_times.append(now)
    planned.term = term
    tables.promotions[row.name] = planned
    fields = {"term": term, "reason": planned.reason, "avoid": sorted(planned.avoided)}
    if planned.voters is not None:
        fields["voters"] = planned.voters
    return [LogEvent("promotion-started", row.name, fields), *_advance(tables, row, planned, now)]


def run(tables: Tables, now: float) -> list[Effect]:
    """Advances every promotion and ends those that took too long."""
    promotions = [(tables.groups.get(p.group), p) for p in list(tables.promotions.values())]
    return [e for row, p in promotions for e in _advance(tables, row, p, now)]


def next_due_at(tables: Tables) -> float | None:
    """Returns the time of the next retry or time limit."""
    return min((_next_due_at(p) for p in tables.promotions.values()), default=None)


def on_answer(
    tables: Tables, call: TargetCall, result: TargetStatus | TargetError, now: float
) -> list[Effect]:
    """Handles the answer to a call of a promotion; answers for an ended promotion are ignored."""
    row, attempt = tables.groups.get(call.group), tables.promotions.get(call.group)
    if row is None or attempt is None or attempt.term != call.promotion_term:
        return []
    attempt.in_flight.discard(call.target.name)
    if isinstance(result, TargetError):
        attempt.uncertain.add(call.target.name)
        attempt.retry_at[call.target.name] = now + RETRY_S
        return _advance(tables, row, attempt, now)
    attempt.uncertain.discard(call.target.name)
    if call.operation is Operation.WAIT:
        attempt.retry_at[call.target.name] = now + RETRY_S
    if result.term > attempt.term:
        return _end_promotion(tables, row, attempt, "superseded", now, by_term=result.term)
    _apply_status(attempt, result)
    return _advance(tables, row, attempt, now)


def may_promote_best(row: GroupRow, fenced: dict[str, TargetStatus], best: TargetStatus) -> bool:
    """Whether the fenced targets prove that the best log contains every acknowledged write."""
    if best.marker == LogPosition():
        # Without a marker the voters are not recorded, so all voters of the bundle must be fenced.
        return set(row.group.voters) <= set(fenced)
    is_committed = best.marker <= row.committed_marker
    previous = () if is_committed else best.previous_voters
    return views.has_majority(fenced, best.voters) and views.has_majority(fenced, previous)


def next_voters(row: GroupRow, attempt: PromotionRow, best: TargetStatus) -> tuple[str, ...]:
    """Returns the voters of the new marker.

    A planned change applies only to a committed marker and changes at most one target. If the
    marker is not known to be committed, the group returns to its previous voters.
    """
    if best.marker == LogPosition():
        return attempt.voters or row.group.voters
    if best.marker > row.committed_marker:
        return best.previous_voters or best.voters
    wanted = attempt.voters
    if wanted is None or attempt.base_marker != best.marker or best.name not in wanted:
        return best.voters
    return wanted if len(set(wanted) ^ set(best.voters)) <= 1 else best.voters


def choose_best_target(attempt: PromotionRow) -> TargetStatus:
    """Returns the fenced target with the highest log position.

    Ties go to a target that is not avoided, then to the preferred primary.
    """
    return max(
        attempt.fenced.values(),
        key=lambda s: (
            s.log,
            s.name not in attempt.avoided,
            s.name == attempt.preferred_primary,
            s.name,
        ),
    )


def _apply_status(attempt: PromotionRow, status: TargetStatus) -> None:
    """Updates the progress that the stages wait for from a status of the promotion's term."""
    if status.term != attempt.term:
        return
    if status.role is Role.FENCED:
        attempt.fenced.setdefault(status.name, status)
    elif status.role is Role.PRIMARY:
        attempt.promoted = status
    elif status.role is Role.REPLICA:
        attempt.following.add(status.name)
    if attempt.promoted is not None and views.holds(status, attempt.promoted.marker):
        attempt.marker_holders.add(status.name)


def _advance(
    tables: Tables, row: GroupRow | None, attempt: PromotionRow, now: float
) -> list[Effect]:
    if row is None or now - attempt.started_at >= ATTEMPT_TIMEOUT_S:
        return _end_promotion(tables, row, attempt, "failed", now)
    if attempt.stage is PromotionStage.FENCING:
        _try_choose_target(row, attempt, now)
    if attempt.stage is PromotionStage.PROMOTING and attempt.promoted is not None:
        attempt.stage = PromotionStage.CONFIRMING
    if attempt.stage is PromotionStage.CONFIRMING and _is_marker_confirmed(attempt):
        return _end_promotion(tables, row, attempt, "done", now)
    return list(_CALLS_BY_STAGE[attempt.stage](row, attempt, now))


def _try_choose_target(row: GroupRow, attempt: PromotionRow, now: float) -> None:
    waiting = bool(attempt.preferred_primary) and attempt.preferred_primary not in attempt.fenced
    if not attempt.fenced or (waiting and now - attempt.started_at < PREFERENCE_TIMEOUT_S):
        return
    best = choose_best_target(attempt)
    if may_promote_best(row, attempt.fenced, best):
        attempt.stage, attempt.chosen = PromotionStage.PROMOTING, best.name
        attempt.new_voters = next_voters(row, attempt, best)


def _is_marker_confirmed(attempt: PromotionRow) -> bool:
    promoted = attempt.promoted
    if promoted is None:
        return False
    return views.has_majority(attempt.marker_holders, promoted.voters) and views.has_majority(
        attempt.marker_holders, promoted.previous_voters
    )


def _fence_calls(row: GroupRow, attempt: PromotionRow, now: float) -> list[Effect]:
    others = set(row.targets) - attempt.avoided
    all_tried = others <= attempt.fenced.keys() | attempt.uncertain
    names = (
        set(row.targets)
        if all_tried or now - attempt.started_at >= PREFERENCE_TIMEOUT_S
        else others
    )
    return _due_calls(row, attempt, names - attempt.fenced.keys(), Operation.FENCE, now)


def _promote_calls(row: GroupRow, attempt: PromotionRow, now: float) -> list[Effect]:
    return _due_calls(row, attempt, {attempt.chosen}, Operation.PROMOTE, now)


def _confirm_calls(row: GroupRow, attempt: PromotionRow, now: float) -> list[Effect]:
    others = set(row.targets) - {attempt.chosen}
    waiting = (others & attempt.following) - attempt.marker_holders
    return [
        *_due_calls(row, attempt, others - attempt.following, Operation.FOLLOW, now),
        *_due_calls(row, attempt, waiting, Operation.WAIT, now),
    ]


_CALLS_BY_STAGE = {
    PromotionStage.FENCING: _fence_calls,
    PromotionStage.PROMOTING: _promote_calls,
    PromotionStage.CONFIRMING: _confirm_calls,
}


def _due_calls(
    row: GroupRow, attempt: PromotionRow, names: set[str], operation: Operation, now: float
) -> list[Effect]:
    """Returns the calls to targets without a call in flight whose retry time has come.

    A target whose state is uncertain is asked for its status first.
    """
    due = sorted(
        n
        for n in names - attempt.in_flight
        if n in row.targets and attempt.retry_at.get(n, 0.0) <= now
    )
    attempt.in_flight.update(due)
    return [_target_call(row, attempt, row.targets[n].target, operation) for n in due]


def _target_call(
    row: GroupRow, attempt: PromotionRow, target: Target, operation: Operation
) -> TargetCall:
    call = TargetCall(
        row.name, target, Operation.STATUS, CALL_TIMEOUT_S, promotion_term=attempt.term
    )
    if target.name in attempt.uncertain:
        return call
    chosen = row.targets[attempt.chosen].target if attempt.chosen in row.targets else None
    marker = attempt.promoted.marker if attempt.promoted else LogPosition()
    return attrs.evolve(
        call,
        operation=operation,
        timeout_s=WAIT_TIMEOUT_S if operation is Operation.WAIT else CALL_TIMEOUT_S,
        term=attempt.term,
        position=marker.position,
        voters=attempt.new_voters,
        primary=chosen if operation is Operation.FOLLOW else None,
    )


def _end_promotion(
    tables: Tables,
    row: GroupRow | None,
    attempt: PromotionRow,
    outcome: str,
    now: float,
    **fields: int,
) -> list[Effect]:
    del tables.promotions[attempt.group]
    event = LogEvent(
        "promotion-ended",
        attempt.group,
        {
            "term": attempt.term,
            "outcome": outcome,
            "stage": attempt.stage.name.lower(),
            "primary": attempt.chosen,
            "seconds": round(now - attempt.started_at, 4),
            **fields,
        },
    )
    if outcome != "done" or attempt.promoted is None:
        return [event]
    voters = attempt.promoted.voters
    return [event, AnnouncePrimary(attempt.group, attempt.term, attempt.chosen, voters)]


def _next_due_at(attempt: PromotionRow) -> float:
    waits = [at for name, at in attempt.retry_at.items() if name not in attempt.in_flight]
    times = [attempt.started_at + ATTEMPT_TIMEOUT_S, *waits]
    if attempt.stage is PromotionStage.FENCING:
        times.append(attempt.started_at + PREFERENCE_TIMEOUT_S)
    return min(times)
