"""Decisions on the bundle head: what to fetch, when to adopt, how old the confirmation is.

All times are seconds of the program's own monotonic clock. A confirmation time is a lower bound of
the moment at which the table service held the head: the time before the read was sent, or the time
before a peer was asked minus the age that the peer answered. The delay of an answer can therefore
only make a confirmation look older than it is.
"""

import re

import attrs

FETCH_RETRY_S = 0.2
FETCH_RETRY_LIMIT_S = 2.0

_DIGEST = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Head:
    """Version of a bundle with the SHA-256 of its body in the object store.

    `delta` is the SHA-256 of the delta from the body of the version before, empty without one.
    """

    version: int
    digest: str
    delta: str = attrs.field(default="", eq=False)


@attrs.define
class HeadState:
    """What a program knows of the head.

    `confirmed_at` is the latest time at which no bundle newer than the adopted one was accepted.
    `wanted` is a newer head whose body is not adopted yet; it needs `wanted_confirmed_at` only for
    the first adoption. `rejected` is the last head whose body can never be adopted.
    """

    started_at: float
    adopted: Head | None = None
    adopted_at: float = 0.0
    confirmed_at: float | None = None
    wanted: Head | None = None
    wanted_confirmed_at: float | None = None
    fetch_at: float = 0.0
    fetch_failures: int = 0
    rejected: Head | None = None


def is_well_formed(head: Head) -> bool:
    """Whether the digests can be looked up; a faulty peer may send anything."""
    digests = (head.digest, head.delta) if head.delta else (head.digest,)
    return head.version > 0 and all(_DIGEST.fullmatch(digest) for digest in digests)


def observe(state: HeadState, head: Head, confirmed_at: float | None, now: float) -> bool:
    """Takes notice of a head; `confirmed_at` is None where the store's confirmation has no bound.

    Returns False if the head contradicts the adopted one: the same version with another digest, or
    an older version that the store held after the adoption.
    """
    if state.adopted is None or head.version > state.adopted.version:
        _want(state, head, confirmed_at, now)
        return True
    if confirmed_at is not None:
        return _confirm(state, state.adopted, head, confirmed_at)
    return head.version < state.adopted.version or head == state.adopted


def fetch_due(state: HeadState) -> float | None:
    """Returns the time at which the body of `wanted` is to be fetched, None if there is none.

    The first bundle after a start needs a confirmation later than the start. A peer that lost the
    store before this program restarted could otherwise return it to an older bundle.
    """
    if state.wanted is None:
        return None
    if state.adopted is None and not _confirmed_since_start(state):
        return None
    return state.fetch_at


def fetch_failed(state: HeadState, head: Head, now: float) -> None:
    """Schedules another fetch after a failure of the object store."""
    if state.wanted == head:
        state.fetch_at = now + min(FETCH_RETRY_LIMIT_S, FETCH_RETRY_S * 2**state.fetch_failures)
        state.fetch_failures += 1


def reject(state: HeadState, head: Head, permanent: bool) -> None:
    """Gives up a head; after a permanent rejection it is not fetched again."""
    if permanent:
        state.rejected = head
    if state.wanted == head:
        _clear_wanted(state)


def adopt(state: HeadState, head: Head, now: float) -> bool:
    """Moves to a head whose body was verified; False if a newer or equal one is adopted."""
    if state.adopted is not None and head.version <= state.adopted.version:
        return False
    if state.adopted is None and (state.wanted != head or not _confirmed_since_start(state)):
        return False
    if state.wanted == head and state.wanted_confirmed_at is not None:
        state.confirmed_at = _latest(state.confirmed_at, state.wanted_confirmed_at)
    state.adopted, state.adopted_at = head, now
    if state.wanted is not None and state.wanted.version <= head.version:
        _clear_wanted(state)
    return True


def confirmation_age(state: HeadState, now: float) -> float:
    """Returns seconds since the latest confirmation, infinite if there was none."""
    return float("inf") if state.confirmed_at is None else now - state.confirmed_at


def _want(state: HeadState, head: Head, confirmed_at: float | None, now: float) -> None:
    if head == state.rejected:
        return
    if head == state.wanted:
        state.wanted_confirmed_at = _latest(state.wanted_confirmed_at, confirmed_at)
        return
    if state.wanted is not None and not _replaces(state, state.wanted, head, confirmed_at):
        return
    state.wanted, state.wanted_confirmed_at = head, confirmed_at
    state.fetch_at, state.fetch_failures = now, 0


def _replaces(state: HeadState, wanted: Head, head: Head, confirmed_at: float | None) -> bool:
    # A head that the store confirmed takes the place of one that only an unconfirmed notice named.
    if confirmed_at is not None and state.wanted_confirmed_at is None:
        return head.version >= wanted.version or state.adopted is None
    return head.version > wanted.version


def _confirm(state: HeadState, adopted: Head, head: Head, confirmed_at: float) -> bool:
    if head == adopted:
        state.confirmed_at = _latest(state.confirmed_at, confirmed_at)
        return True
    # An older head, read before the adoption, shows that nothing newer was accepted by then.
    if head.version < adopted.version and confirmed_at <= state.adopted_at:
        state.confirmed_at = _latest(state.confirmed_at, confirmed_at)
        return True
    return False


def _confirmed_since_start(state: HeadState) -> bool:
    return state.wanted_confirmed_at is not None and state.wanted_confirmed_at >= state.started_at


def _clear_wanted(state: HeadState) -> None:
    state.wanted, state.wanted_confirmed_at, state.fetch_failures = None, None, 0


def _latest(first: float | None, second: float | None) -> float | None:
    return max((t for t in (first, second) if t is not None), default=None)
