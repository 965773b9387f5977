"""State of the bundle head: which body to fetch, when to adopt it, how old the confirmation is.

All times are seconds of the program's own monotonic clock. A confirmation time is a lower bound on
when the table service held the head: the time before the read was sent, or the time before the
request to a peer was sent minus the age in the peer's answer. A delayed answer can therefore only
make a confirmation look older than it is.
"""

import re

import attrs

FETCH_RETRY_MIN_S = 0.2
FETCH_RETRY_MAX_S = 2.0

_DIGEST = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Head:
    """Version of a bundle and the SHA-256 of its body in the object store.

    `delta` is the SHA-256 of the delta from the previous version's body, empty if there is none.
    """

    version: int
    digest: str
    delta: str = attrs.field(default="", eq=False)


@attrs.define
class HeadState:
    """What a program knows of the head.

    `confirmed_at` is the latest time at which no bundle newer than the adopted one was accepted.
    `pending` is a newer head whose body is not adopted yet; `pending_confirmed_at` is required only
    for the first adoption. `rejected` is the last head whose body can never be adopted.
    """

    started_at: float
    adopted: Head | None = None
    adopted_at: float = 0.0
    confirmed_at: float | None = None
    pending: Head | None = None
    pending_confirmed_at: float | None = None
    next_fetch_at: float = 0.0
    fetch_failures: int = 0
    rejected: Head | None = None


def is_well_formed(head: Head) -> bool:
    """Whether version and digests have a valid format; a faulty peer may send any value."""
    digests = (head.digest, head.delta) if head.delta else (head.digest,)
    return head.version > 0 and all(_DIGEST.fullmatch(digest) for digest in digests)


def observe(state: HeadState, head: Head, confirmed_at: float | None, now: float) -> bool:
    """Updates the state with a head; `confirmed_at` is None if the store has not confirmed it.

    Returns False if the head contradicts the adopted one: it has the same version with another
    digest, or it is an older version that the store held after the adoption.
    """
    if state.adopted is None or head.version > state.adopted.version:
        _set_pending(state, head, confirmed_at, now)
        return True
    if confirmed_at is not None:
        return _confirm_adopted(state, state.adopted, head, confirmed_at)
    return head.version < state.adopted.version or head == state.adopted


def fetch_due_at(state: HeadState) -> float | None:
    """Returns when the body of `pending` is to be fetched, None if there is nothing to fetch.

    The first bundle after a start needs a confirmation later than the start. Otherwise a peer that
    lost contact with the store before this program restarted could make it adopt an older bundle
    than it had before the restart.
    """
    if state.pending is None:
        return None
    if state.adopted is None and not _pending_confirmed_since_start(state):
        return None
    return state.next_fetch_at


def record_fetch_failure(state: HeadState, head: Head, now: float) -> None:
    """Schedules the next fetch after a failed read of the object store, with backoff."""
    if state.pending == head:
        state.next_fetch_at = now + min(
            FETCH_RETRY_MAX_S, FETCH_RETRY_MIN_S * 2**state.fetch_failures
        )
        state.fetch_failures += 1


def reject(state: HeadState, head: Head, permanent: bool) -> None:
    """Drops a pending head; after a permanent rejection it is not fetched again."""
    if permanent:
        state.rejected = head
    if state.pending == head:
        _clear_pending(state)


def adopt(state: HeadState, head: Head, now: float) -> bool:
    """Adopts a head whose body was verified; returns whether it was adopted.

    It is not if the adopted version is the same or newer, or if it would be the first one and the
    store has not confirmed it since the start.
    """
    if state.adopted is not None and head.version <= state.adopted.version:
        return False
    if state.adopted is None and (
        state.pending != head or not _pending_confirmed_since_start(state)
    ):
        return False
    if state.pending == head and state.pending_confirmed_at is not None:
        state.confirmed_at = _latest(state.confirmed_at, state.pending_confirmed_at)
    state.adopted, state.adopted_at = head, now
    if state.pending is not None and state.pending.version <= head.version:
        _clear_pending(state)
    return True


def confirmation_age(state: HeadState, now: float) -> float:
    """Returns the seconds since the latest confirmation, infinite if there was none."""
    return float("inf") if state.confirmed_at is None else now - state.confirmed_at


def _set_pending(state: HeadState, head: Head, confirmed_at: float | None, now: float) -> None:
    if head == state.rejected:
        return
    if head == state.pending:
        state.pending_confirmed_at = _latest(state.pending_confirmed_at, confirmed_at)
        return
    if state.pending is not None and not _replaces_pending(
        state, state.pending, head, confirmed_at
    ):
        return
    state.pending, state.pending_confirmed_at = head, confirmed_at
    state.next_fetch_at, state.fetch_failures = now, 0


def _replaces_pending(
    state: HeadState, pending: Head, head: Head, confirmed_at: float | None
) -> bool:
    # A head confirmed by the store replaces one that is known only from an unconfirmed notice.
    if confirmed_at is not None and state.pending_confirmed_at is None:
        return head.version >= pending.version or state.adopted is None
    return head.version > pending.version


def _confirm_adopted(state: HeadState, adopted: Head, head: Head, confirmed_at: float) -> bool:
    if head == adopted:
        state.confirmed_at = _latest(state.confirmed_at, confirmed_at)
        return True
    # An older head that was confirmed before the adoption shows that no newer one had been accepted
    # by then.
    if head.version < adopted.version and confirmed_at <= state.adopted_at:
        state.confirmed_at = _latest(state.confirmed_at, confirmed_at)
        return True
    return False


def _pending_confirmed_since_start(state: HeadState) -> bool:
    return state.pending_confirmed_at is not None and state.pending_confirmed_at >= state.started_at


def _clear_pending(state: HeadState) -> None:
    state.pending, state.pending_confirmed_at, state.fetch_failures = None, None, 0


def _latest(first: float | None, second: float | None) -> float | None:
    return max((t for t in (first, second) if t is not None), default=None)
