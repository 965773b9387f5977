"""Detection of lost primaries.

A controller that considers a primary lost needs confirmation by the pools, another controller or
the replicas, and waits for its delay by rank, before it starts a promotion.
"""

from siskindale.controller import views
from siskindale.controller.effects import AskPeer, Effect, LogEvent
from siskindale.controller.systems import limits, promotion
from siskindale.controller.tables import GroupRow, PeerAnswer, PromotionRow, Tables
from siskindale.models.group import Role, TargetStatus
from siskindale.models.wire import PrimaryCheckReply, PrimaryCheckRequest, PrimaryReport

# A peer answers within one round trip; asking more often than once per one-way delay brings no
# earlier answer.
PEER_ASK_INTERVAL_S = 0.05
# Covers two missed answers in a row, so that one lost message does not make a peer unreachable.
PEER_ANSWER_VALID_S = 0.2
# Confirmation and the delays by rank take less time; a promotion held back for longer is logged.
HELD_BACK_LOG_DELAY_S = 1.0
# Pools report every 100 ms; the loss of a few reports must not make the primary count as reached.
POOL_REPORT_VALID_S = 0.5
MIN_REPORTING_POOLS = 2


def run(tables: Tables, now: float) -> list[Effect]:
    """Starts a promotion in each group whose primary is confirmed lost, after the delay by rank."""
    return [e for row in tables.groups.values() for e in _check_group(tables, row, now)]


def next_due_at(tables: Tables) -> float | None:
    """Returns the time of the next request to a peer."""
    waiting = [g for g in tables.groups.values() if g.lost_since is not None]
    return min((g.next_ask_at for g in waiting if g.name not in tables.promotions), default=None)


def loss_reason(tables: Tables, row: GroupRow, now: float) -> str:
    """Returns why the primary is considered lost, or an empty string.

    Without a majority of responding voters the primary cannot be replaced and is not considered
    lost: a promotion would fence the few targets that respond and delay the repair.
    """
    limit = tables.durations.loss_after_ms / 1000
    settled = max(row.highest_term_at, tables.resumed_at, row.created_at)
    newest = views.newest_marker(row)
    if newest is None or now - settled < limit:
        return ""
    responding = views.responding_voters(row, now, limit)
    if not views.has_majority([r.target.name for r in responding], newest.voters):
        return ""
    primary = views.primary_name(row)
    if not primary:
        return "no primary"
    if views.serving_primary(row, now, limit) is None:
        return "no response"
    if _is_unheard_by_replicas(row, primary, now, limit):
        return "not heard by replicas"
    return "not reached by pools" if _is_unreachable_from_pools(row, now) else ""


def record_pool_report(tables: Tables, vm: str, report: PrimaryReport, now: float) -> None:
    """Records that a pool does not reach the primary of a group."""
    row = tables.groups.get(report.group)
    if row is not None and vm in row.pools:
        row.pool_reports[vm] = (report.term, now)


def _is_unreachable_from_pools(row: GroupRow, now: float) -> bool:
    """Whether every pool reports the primary; a single pool may be cut off itself."""
    reports = [row.pool_reports.get(vm, (0, float("-inf"))) for vm in row.pools]
    fresh = [term == row.highest_term and now - at < POOL_REPORT_VALID_S for term, at in reports]
    return len(fresh) >= MIN_REPORTING_POOLS and all(fresh)


def answer_peer(
    tables: Tables, request: PrimaryCheckRequest, now: float
) -> PrimaryCheckReply | None:
    """Returns the reply to another controller, None for a group that this VM does not control."""
    row = tables.groups.get(request.group)
    if row is None:
        return None
    lost = row.highest_term <= request.term and bool(loss_reason(tables, row, now))
    return PrimaryCheckReply(request.group, row.highest_term, request.primary, lost)


def record_peer_answer(tables: Tables, vm: str, reply: PrimaryCheckReply, now: float) -> None:
    """Records the reply of another controller."""
    row = tables.groups.get(reply.group)
    peer_answer = row.peer_answers.get(vm) if row else None
    if peer_answer is not None:
        peer_answer.lost, peer_answer.answered_at, peer_answer.term = reply.lost, now, reply.term


def loss_confirmed_by(tables: Tables, row: GroupRow, now: float) -> str:
    """Returns what confirms the loss: pools, controller or replicas; empty without confirmation.

    Replicas are considered only if no other controller answers.
    """
    if _is_unreachable_from_pools(row, now):
        return "pools"
    recent_answers = [
        s for s in row.peer_answers.values() if now - s.answered_at < PEER_ANSWER_VALID_S
    ]
    if any(s.lost and s.term <= row.highest_term for s in recent_answers):
        return "controller"
    if recent_answers or now - row.asking_since < (PEER_ANSWER_VALID_S if row.peers else 0.0):
        return ""
    limit = tables.durations.loss_after_ms / 1000
    return "replicas" if _is_unheard_by_replicas(row, views.primary_name(row), now, limit) else ""


def _is_unheard_by_replicas(row: GroupRow, primary: str, now: float, limit: float) -> bool:
    """Whether a majority of voters responds without the primary, and no replica has heard it."""
    others = [r for r in views.responding_voters(row, now, limit) if r.target.name != primary]
    if not views.has_majority([r.target.name for r in others], views.voters(row)):
        return False
    return all(now - r.primary_heard_at >= limit for r in others if _is_replica(r.status))


def _is_replica(status: TargetStatus | None) -> bool:
    return status is not None and status.role is Role.REPLICA


def _check_group(tables: Tables, row: GroupRow, now: float) -> list[Effect]:
    reason = loss_reason(tables, row, now)
    if not reason or row.name in tables.promotions:
        return _clear_loss(row, loss_ended=not reason)
    effects: list[Effect] = []
    if row.lost_since is None:
        row.lost_since = row.asking_since = now
        effects.append(_loss_event(row, reason))
    effects.extend(_ask_peers(row, now))
    return effects + _promote_if_due(tables, row, reason, now)


def _clear_loss(row: GroupRow, loss_ended: bool) -> list[Effect]:
    """Clears the loss; it is logged if the primary is back without a promotion of this VM."""
    lost, row.lost_since = row.lost_since is not None, None
    row.peer_answers.clear()
    if not lost or not loss_ended:
        return []
    row.last_logged_reason = ""
    fields = {"term": row.highest_term, "primary": views.primary_name(row)}
    return [LogEvent("loss-ended", row.name, fields)]


def _log_held_back(row: GroupRow, blocked_by: str, since: float, now: float) -> list[Effect]:
    if row.last_logged_reason == blocked_by or now - since < HELD_BACK_LOG_DELAY_S:
        return []
    row.last_logged_reason = blocked_by
    return [
        LogEvent("promotion-held-back", row.name, {"term": row.highest_term, "reason": blocked_by})
    ]


def _loss_event(row: GroupRow, reason: str) -> LogEvent:
    fields = {"term": row.highest_term, "primary": views.primary_name(row), "reason": reason}
    return LogEvent("primary-lost", row.name, fields)


def _ask_peers(row: GroupRow, now: float) -> list[Effect]:
    if now < row.next_ask_at:
        return []
    row.next_ask_at = now + PEER_ASK_INTERVAL_S
    primary = views.primary_name(row)
    for peer in row.peers:
        row.peer_answers.setdefault(peer.vm, PeerAnswer(now))
    return [AskPeer(row.name, p.vm, p.url, row.highest_term, primary) for p in row.peers]


def _promote_if_due(tables: Tables, row: GroupRow, reason: str, now: float) -> list[Effect]:
    since = now if row.lost_since is None else row.lost_since
    confirmed = loss_confirmed_by(tables, row, now)
    blocked_by = (
        limits.blocked_reason(tables, row, since, now) if confirmed else "nobody confirms the loss"
    )
    if blocked_by:
        return _log_held_back(row, blocked_by, since, now)
    planned = PromotionRow(
        group=row.name,
        term=0,
        reason=f"{reason}, confirmed by {confirmed}",
        started_at=now,
        avoided=views.non_voters(row) | {views.primary_name(row)},
    )
    return promotion.start(tables, row, planned, now)
