"""Reserved terms: unique by a conditional increment of the row `terms/<group>`.

Terms are reserved ahead, so that a promotion needs no store. The row keeps the latest reservations
with their ids, so that a commit without an answer can be resolved by reading.
"""

from random import Random

from siskindale.controller.effects import CommitTerms, Effect, ReadTerms, Record
from siskindale.controller.tables import ReservationStage, Tables, TermsRow
from siskindale.store.interface import Condition, PlatformFailure, Row, Write

TABLE = "terms"
RESERVED = 2
RETRY_S = 0.5
# More reservations than three controllers make while one waits for the answer to a read.
KEPT_RESERVATIONS = 16


def run(tables: Tables, now: float, random: Random) -> list[Effect]:
    """Drops superseded terms and starts or continues the reservations that are due."""
    due = [_reserve(tables, row, now, random) for row in tables.terms.values()]
    return [effect for effect in due if effect is not None]


def next_at(tables: Tables) -> float | None:
    """Returns the time of the next request to the store."""
    waiting = [r for r in tables.terms.values() if not r.busy and _wanted(r)]
    return min((row.retry_at for row in waiting), default=None)


def take(tables: Tables, group: str) -> int | None:
    """Removes and returns the lowest reserved term above every term seen, None without one."""
    row = tables.terms[group]
    _drop_superseded(tables, row)
    return row.terms.pop(0) if row.terms else None


def on_read(
    tables: Tables, group: str, found: Row | PlatformFailure | None, now: float
) -> list[Effect]:
    """Takes the row that was read and commits a reservation, or resolves the last one."""
    row = tables.terms.get(group)
    if row is None:
        return []
    row.busy = False
    if isinstance(found, PlatformFailure):
        row.retry_at = now + RETRY_S
        return []
    if row.stage is ReservationStage.RESOLVING:
        return _resolve(row, found)
    row.stage, row.busy = ReservationStage.COMMITTING, True
    return [_commit(tables, row, found)]


def on_commit(
    tables: Tables, call: CommitTerms, failure: PlatformFailure | None, now: float
) -> list[Effect]:
    """Takes the answer to a commit; without one the row is read before anything else."""
    row = tables.terms.get(call.group)
    if row is None:
        return []
    row.busy = False
    if failure is None:
        return _grant(row, call.terms)
    unknown = failure is PlatformFailure.UNKNOWN
    row.stage = ReservationStage.RESOLVING if unknown else ReservationStage.IDLE
    row.retry_at = now if failure is PlatformFailure.CONFLICT else now + RETRY_S
    return []


def _reserve(tables: Tables, row: TermsRow, now: float, random: Random) -> Effect | None:
    _drop_superseded(tables, row)
    if row.busy or row.retry_at > now or not _wanted(row):
        return None
    if row.stage is ReservationStage.IDLE:
        row.reservation = f"{random.getrandbits(64):016x}"
        row.stage = ReservationStage.READING
    row.busy = True
    return ReadTerms(row.group)


def _wanted(row: TermsRow) -> bool:
    return len(row.terms) < RESERVED or row.stage is ReservationStage.RESOLVING


def _commit(tables: Tables, row: TermsRow, found: Row | None) -> CommitTerms:
    group = tables.groups.get(row.group)
    value = found.value if found else {}
    highest = max(int(value.get("highest", 0)), group.top_term if group else 0)
    terms = tuple(range(highest + 1, highest + 1 + RESERVED - len(row.terms)))
    kept = [*value.get("reservations", []), [row.reservation, *terms]][-KEPT_RESERVATIONS:]
    return CommitTerms(
        row.group,
        row.reservation,
        terms,
        Condition(TABLE, row.group, found.version if found else 0),
        Write(TABLE, row.group, {"highest": terms[-1], "reservations": kept}),
    )


def _resolve(row: TermsRow, found: Row | None) -> list[Effect]:
    kept = found.value.get("reservations", []) if found else []
    own = next((terms for reservation, *terms in kept if reservation == row.reservation), None)
    row.stage = ReservationStage.IDLE
    # A commit that takes effect only after this read leaves terms that nobody uses.
    return _grant(row, tuple(own)) if own else []


def _grant(row: TermsRow, terms: tuple[int, ...]) -> list[Effect]:
    row.stage = ReservationStage.IDLE
    row.terms = sorted({*row.terms, *terms})
    return [Record("terms-reserved", row.group, {"terms": terms, "reservation": row.reservation})]


def _drop_superseded(tables: Tables, row: TermsRow) -> None:
    group = tables.groups.get(row.group)
    top = group.top_term if group else 0
    row.terms = [term for term in row.terms if term > top]
