"""Loss of a primary: own sight, confirmation by a controller or the replicas, rank delay."""

from siskindale.controller import views
from siskindale.controller.effects import AskSight, Effect, Record
from siskindale.controller.systems import limits, promotion
from siskindale.controller.tables import GroupRow, PromotionRow, Sight, Tables
from siskindale.models.group import Role, TargetStatus
from siskindale.models.wire import PrimaryReport, SightReply, SightRequest

# A peer answers within two one-way delays; asking more often than a delay brings nothing sooner.
ASK_INTERVAL_S = 0.05
# Two missed answers in a row, so that one lost message does not make a peer unreachable.
SIGHT_VALID_S = 0.2
# A confirmation and the delays by rank take less; what takes longer is reported.
HELD_BACK_S = 1.0
# Pools report every 100 ms; a few lost reports do not end a loss.
REPORT_VALID_S = 0.5
MIN_POOLS = 2


def run(tables: Tables, now: float) -> list[Effect]:
    """Starts a promotion of each group whose primary is lost, confirmed, and due by rank."""
    return [e for row in tables.groups.values() for e in _group(tables, row, now)]


def next_at(tables: Tables) -> float | None:
    """Returns the time of the next question to a peer."""
    waiting = [g for g in tables.groups.values() if g.lost_since is not None]
    return min((g.ask_at for g in waiting if g.name not in tables.promotions), default=None)


def loss(tables: Tables, row: GroupRow, now: float) -> str:
    """Returns why the primary is considered lost, empty while it is not.

    A primary that could not be replaced, because no majority responds, is not reported lost: an
    attempt would fence the few targets that respond and delay the repair.
    """
    limit = tables.durations.loss_after_ms / 1000
    settled = max(row.top_term_at, tables.awake_since, row.created_at)
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
    if _unheard(row, primary, now, limit):
        return "not heard by replicas"
    return "not reached by pools" if _cut_from_pools(row, now) else ""


def note_report(tables: Tables, vm: str, report: PrimaryReport, now: float) -> None:
    """Takes over the report of a pool."""
    row = tables.groups.get(report.group)
    if row is not None and vm in row.pools:
        row.pool_reports[vm] = (report.term, now)


def _cut_from_pools(row: GroupRow, now: float) -> bool:
    """Whether every pool reports the primary; one pool alone may be cut off itself."""
    reports = [row.pool_reports.get(vm, (0, float("-inf"))) for vm in row.pools]
    fresh = [term == row.top_term and now - at < REPORT_VALID_S for term, at in reports]
    return len(fresh) >= MIN_POOLS and all(fresh)


def answer(tables: Tables, request: SightRequest, now: float) -> SightReply | None:
    """Answers another controller; None for a group that this VM does not control."""
    row = tables.groups.get(request.group)
    if row is None:
        return None
    lost = row.top_term <= request.term and bool(loss(tables, row, now))
    return SightReply(request.group, row.top_term, request.primary, lost)


def note_sight(tables: Tables, vm: str, reply: SightReply, now: float) -> None:
    """Takes over the answer of another controller."""
    row = tables.groups.get(reply.group)
    sight = row.sights.get(vm) if row else None
    if sight is not None:
        sight.lost, sight.answered_at, sight.term = reply.lost, now, reply.term


def confirmation(tables: Tables, row: GroupRow, now: float) -> str:
    """Returns who confirms the loss, empty while nobody does."""
    if _cut_from_pools(row, now):
        return "pools"
    recent = [s for s in row.sights.values() if now - s.answered_at < SIGHT_VALID_S]
    if any(s.lost and s.term <= row.top_term for s in recent):
        return "controller"
    if recent or now - row.asking_since < (SIGHT_VALID_S if row.peers else 0.0):
        return ""
    limit = tables.durations.loss_after_ms / 1000
    return "replicas" if _unheard(row, views.primary_name(row), now, limit) else ""


def _unheard(row: GroupRow, primary: str, now: float, limit: float) -> bool:
    """Whether a majority of the voters responds without the primary and none has heard from it."""
    others = [r for r in views.responding_voters(row, now, limit) if r.target.name != primary]
    if not views.has_majority([r.target.name for r in others], views.voters(row)):
        return False
    return all(now - r.heard_at >= limit for r in others if _is_replica(r.status))


def _is_replica(status: TargetStatus | None) -> bool:
    return status is not None and status.role is Role.REPLICA


def _group(tables: Tables, row: GroupRow, now: float) -> list[Effect]:
    reason = loss(tables, row, now)
    if not reason or row.name in tables.promotions:
        return _forget(row, found=not reason)
    effects: list[Effect] = []
    if row.lost_since is None:
        row.lost_since = row.asking_since = now
        effects.append(_lost(row, reason))
    effects.extend(_ask(row, now))
    return effects + _promote(tables, row, reason, now)


def _forget(row: GroupRow, found: bool) -> list[Effect]:
    """Ends a loss; one that ended without an own promotion is recorded."""
    lost, row.lost_since = row.lost_since is not None, None
    row.sights.clear()
    if not lost or not found:
        return []
    row.reported = ""
    fields = {"term": row.top_term, "primary": views.primary_name(row)}
    return [Record("loss-ended", row.name, fields)]


def _hold_back(row: GroupRow, why: str, since: float, now: float) -> list[Effect]:
    if row.reported == why or now - since < HELD_BACK_S:
        return []
    row.reported = why
    return [Record("promotion-held-back", row.name, {"term": row.top_term, "reason": why})]


def _lost(row: GroupRow, reason: str) -> Record:
    fields = {"term": row.top_term, "primary": views.primary_name(row), "reason": reason}
    return Record("primary-lost", row.name, fields)


def _ask(row: GroupRow, now: float) -> list[Effect]:
    if now < row.ask_at:
        return []
    row.ask_at = now + ASK_INTERVAL_S
    primary = views.primary_name(row)
    for peer in row.peers:
        row.sights.setdefault(peer.vm, Sight(now))
    return [AskSight(row.name, p.vm, p.url, row.top_term, primary) for p in row.peers]


def _promote(tables: Tables, row: GroupRow, reason: str, now: float) -> list[Effect]:
    since = now if row.lost_since is None else row.lost_since
    confirmed = confirmation(tables, row, now)
    why = limits.hindrance(tables, row, since, now) if confirmed else "nobody confirms the loss"
    if why:
        return _hold_back(row, why, since, now)
    planned = PromotionRow(
        group=row.name,
        term=0,
        reason=f"{reason}, confirmed by {confirmed}",
        started_at=now,
        avoid=views.without_vote(row) | {views.primary_name(row)},
    )
    return promotion.start(tables, row, planned, now)
