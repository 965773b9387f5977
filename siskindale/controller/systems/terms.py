"""Reservation of unique terms by conditional writes of the row `terms/<group>`.

Terms are reserved in advance, so that a promotion does not need the store. The row keeps the latest
reservations with their ids, so that a read can tell whether an unanswered commit took effect.
"""

from random import Random

from siskindale.controller.effects import CommitTerms, Effect, LogEvent, ReadTerms
from siskindale.controller.tables import ReservationStage, Tables, TermsRow
from siskindale.store.interface import Condition, PlatformFailure, Row, Write
from siskindale.store.versions import era_of

TERMS_TABLE = "terms"
RESERVED_TERMS = 2
RETRY_S = 0.5
# More than three controllers can add while one of them waits for the answer to a read.
KEPT_RESERVATIONS = 16
# More terms than a group can use in an era of the store.
TERMS_PER_ERA = 1 << 20
FIRST_ERA = 1


def run(tables: Tables, now: float, random: Random) -> list[Effect]:
    """Drops superseded terms and returns the reads of the reservations that are due."""
    due = [_start_reservation(tables, row, now, random) for row in tables.terms.values()]
    return [effect for effect in due if effect is not None]


def next_due_at(tables: Tables) -> float | None:
    """Returns the time of the next request to the store."""
    waiting = [r for r in tables.terms.values() if not r.request_pending and _needs_request(r)]
    return min((row.retry_at for row in waiting), default=None)


def take_term(tables: Tables, group: str) -> int | None:
    """Removes and returns the lowest reserved term above every term seen, None if there is none."""
    row = tables.terms[group]
    _drop_superseded(tables, row)
    return row.terms.pop(0) if row.terms else None


def on_read(
    tables: Tables, group: str, found: Row | PlatformFailure | None, now: float
) -> list[Effect]:
    """Commits a reservation based on the row that was read, or resolves an unanswered commit."""
    row = tables.terms.get(group)
    if row is None:
        return []
    row.request_pending = False
    if isinstance(found, PlatformFailure):
        row.retry_at = now + RETRY_S
        return []
    if row.stage is ReservationStage.RESOLVING:
        return _resolve_reservation(row, found)
    row.stage, row.request_pending = ReservationStage.COMMITTING, True
    return [_commit_reservation(tables, row, found)]


def on_commit(
    tables: Tables, call: CommitTerms, failure: PlatformFailure | None, now: float
) -> list[Effect]:
    """Handles the answer to a commit; if its outcome is unknown, the row is read next."""
    row = tables.terms.get(call.group)
    if row is None:
        return []
    row.request_pending = False
    if failure is None:
        return _add_terms(row, call.terms)
    unknown = failure is PlatformFailure.UNKNOWN
    row.stage = ReservationStage.RESOLVING if unknown else ReservationStage.IDLE
    row.retry_at = now if failure is PlatformFailure.CONFLICT else now + RETRY_S
    return []


def _start_reservation(tables: Tables, row: TermsRow, now: float, random: Random) -> Effect | None:
    _drop_superseded(tables, row)
    if row.request_pending or row.retry_at > now or not _needs_request(row):
        return None
    if row.stage is ReservationStage.IDLE:
        row.reservation_id = f"{random.getrandbits(64):016x}"
        row.stage = ReservationStage.READING
    row.request_pending = True
    return ReadTerms(row.group)


def _needs_request(row: TermsRow) -> bool:
    return len(row.terms) < RESERVED_TERMS or row.stage is ReservationStage.RESOLVING


def _commit_reservation(tables: Tables, row: TermsRow, found: Row | None) -> CommitTerms:
    group = tables.groups.get(row.group)
    value = found.value if found else {}
    highest = max(
        int(value.get("highest", 0)),
        group.highest_term if group else 0,
        _terms_before_era(max(tables.store_era, era_of(found.version) if found else 0)),
    )
    terms = tuple(range(highest + 1, highest + 1 + RESERVED_TERMS - len(row.terms)))
    kept = [*value.get("reservations", []), [row.reservation_id, *terms]][-KEPT_RESERVATIONS:]
    return CommitTerms(
        row.group,
        row.reservation_id,
        terms,
        Condition(TERMS_TABLE, row.group, found.version if found else 0),
        Write(TERMS_TABLE, row.group, {"highest": terms[-1], "reservations": kept}),
    )


def _terms_before_era(era: int) -> int:
    """Returns the highest term of earlier eras, whose reservations a restored store may lack."""
    return max(0, era - FIRST_ERA) * TERMS_PER_ERA


def _resolve_reservation(row: TermsRow, found: Row | None) -> list[Effect]:
    reservations = found.value.get("reservations", []) if found else []
    own_terms = next(
        (terms for reservation_id, *terms in reservations if reservation_id == row.reservation_id),
        None,
    )
    row.stage = ReservationStage.IDLE
    # The terms of a commit that takes effect only after this read remain unused.
    return _add_terms(row, tuple(own_terms)) if own_terms else []


def _add_terms(row: TermsRow, terms: tuple[int, ...]) -> list[Effect]:
    row.stage = ReservationStage.IDLE
    row.terms = sorted({*row.terms, *terms})
    return [
        LogEvent("terms-reserved", row.group, {"terms": terms, "reservation": row.reservation_id})
    ]


def _drop_superseded(tables: Tables, row: TermsRow) -> None:
    group = tables.groups.get(row.group)
    highest = group.highest_term if group else 0
    row.terms = [term for term in row.terms if term > highest]
