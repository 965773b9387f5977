"""Rolls out a signed bundle: stores the body, then moves the head from version n to n+1.

Head, audit row and roll id row are written in one transaction, on condition that the head is still
the one that was read and that the roll id is absent. The transaction can therefore be sent again
safely: at most one of the copies takes effect. After a lost response, the roll id is read to learn
the outcome.
"""

from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from siskindale.bundles import audit, delta
from siskindale.bundles.audit import AUDIT_TABLE, AuditRow
from siskindale.bundles.following import HEAD_KEY, HEAD_TABLE
from siskindale.bundles.heads import Head
from siskindale.bundles.signing import canonical_json, digest_of
from siskindale.context import Clock
from siskindale.models.bundle import SignedBundle
from siskindale.store.interface import (
    Condition,
    Platform,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)

ROLL_TABLE = "rolls"
RETRY_INTERVAL_S = 0.25

T = TypeVar("T")

Sleep = Callable[[float], None]


@attrs.frozen
class HeadRow:
    """Head in the table service with the version of its row, 0 if there is none."""

    head: Head
    row_version: int = 0
    audit_hash: str = ""


@attrs.frozen
class RollRequest:
    """A signed bundle to roll; `roll_id` is random, `timeout_s` bounds the whole attempt.

    `resumed` is true if an earlier attempt with the same id ended with an unknown outcome.
    """

    signed: SignedBundle
    signers: tuple[str, ...]
    operator: str
    roll_id: str
    timeout_s: float
    resumed: bool = False


@attrs.frozen
class Accepted:
    """The bundle is the head."""

    head: Head


@attrs.frozen
class NotAccepted:
    """The bundle is not the head, and this roll will not take effect later."""

    reason: str
    remedy: str = ""
    conflict: bool = False


@attrs.frozen
class Unknown:
    """It is unknown whether the roll took effect; the roll id shows it later."""

    roll_id: str
    reason: str


Outcome = Accepted | NotAccepted | Unknown


def read_head(platform: Platform) -> Result[HeadRow, PlatformError]:
    """Returns the head; its version is 0 before the first bundle."""
    return platform.tables.read(HEAD_TABLE, HEAD_KEY).map(_to_head_row)


def read_body(platform: Platform, head: Head) -> Result[bytes | None, PlatformError]:
    """Returns the body of a head, None if it is absent."""
    return platform.objects.get(head.digest)


def read_roll(platform: Platform, roll_id: str) -> Result[Head | None, PlatformError]:
    """Returns the head that a roll has written, None if it has not taken effect."""
    return platform.tables.read(ROLL_TABLE, roll_id).map(
        lambda row: None if row is None else Head(row.value["version"], row.value["digest"])
    )


def read_audit_row(platform: Platform, version: int) -> AuditRow | None:
    """Returns the audit row of a version, None if it is absent or cannot be read."""
    row = platform.tables.read(AUDIT_TABLE, audit.row_key(version)).value_or(None)
    return next(iter(audit.valid_rows([row] if row else [])), None)


class Roller:
    """One attempt to roll a bundle."""

    def __init__(
        self, request: RollRequest, platform: Platform, clock: Clock, sleep: Sleep
    ) -> None:
        self._request = request
        self._platform = platform
        self._clock = clock
        self._sleep = sleep
        self._content = canonical_json(request.signed)
        self._head = Head(request.signed.bundle.version, digest_of(self._content))
        self._deadline = clock.monotonic() + request.timeout_s
        self._may_have_committed = request.resumed
        self._last_error = "the store did not respond in time"

    def roll(self) -> Outcome:
        """Rolls the bundle; returns when the outcome is certain or the timeout has passed."""
        earlier = self._earlier_outcome() if self._request.resumed else None
        if earlier is not None:
            return earlier
        before = self._with_retries(lambda: read_head(self._platform))
        if before is None:
            return self._timeout_outcome()
        if before.head == self._head:
            return Accepted(self._head)
        refusal = self._precondition_failure(before)
        if refusal is not None:
            return refusal
        if self._with_retries(self._store_body) is None:
            return self._timeout_outcome()
        self._store_delta(before.head)
        return self._commit_with_retries(before)

    def _precondition_failure(self, before: HeadRow) -> NotAccepted | None:
        bundle = self._request.signed.bundle
        if bundle.version != before.head.version + 1:
            return self._head_conflict(before.head)
        if bundle.previous != before.head.digest:
            return NotAccepted(
                f"the bundle replaces {bundle.previous[:12] or 'nothing'},"
                f" but version {before.head.version} is {before.head.digest[:12]}",
                "start from `siskindale bundle new`",
                conflict=True,
            )
        return None

    def _store_body(self) -> Result[bool, PlatformError]:
        """Stores the body and reads it back, since the head must never refer to a missing body."""
        stored = self._platform.objects.put(self._head.digest, self._content)
        if isinstance(stored, Failure):
            return stored
        found = self._platform.objects.get(self._head.digest)
        if found.value_or(None) == self._content:
            return Success(True)
        missing = PlatformError(PlatformFailure.UNAVAILABLE, "the stored body cannot be read back")
        return found if isinstance(found, Failure) else Failure(missing)

    def _store_delta(self, before: Head) -> None:
        """Stores a delta from the previous body; without one, programs read the whole body."""
        if not before.version:
            return
        previous = read_body(self._platform, before).value_or(None)
        if previous is None:
            return
        content = delta.encode(previous, self._content)
        digest = digest_of(content)
        if isinstance(self._platform.objects.put(digest, content), Success):
            self._head = attrs.evolve(self._head, delta=digest)

    def _commit_with_retries(self, before: HeadRow) -> Outcome:
        row = self._audit_row(before)
        for _ in self._attempts():
            committed = self._commit(before, row)
            if isinstance(committed, Success):
                return Accepted(self._head)
            error = committed.failure()
            if error.kind is PlatformFailure.CONFLICT:
                return self._resolve_conflict(before)
            self._record_error(error)
            if error.kind is PlatformFailure.UNKNOWN:
                self._may_have_committed = True
            if self._may_have_committed and self._took_effect():
                return Accepted(self._head)
        return self._timeout_outcome()

    def _resolve_conflict(self, before: HeadRow) -> Outcome:
        """Returns the outcome after a conflict.

        The head or the roll id was changed by an earlier copy of this roll or by another roll.
        """
        earlier = self._earlier_outcome()
        if earlier is not None:
            return earlier
        current = self._with_retries(lambda: read_head(self._platform))
        if current is not None and current.row_version == before.row_version:
            reason = "the store rejected the roll although the head is unchanged"
            return NotAccepted(reason, "run `siskindale audit --verify`", conflict=True)
        # The head that the transaction requires was replaced, so no copy of it can take effect.
        return self._head_conflict(None if current is None else current.head)

    def _earlier_outcome(self) -> Outcome | None:
        """Returns the outcome recorded under the roll id, None if no copy has taken effect yet."""
        rolled = self._with_retries(
            lambda: read_roll(self._platform, self._request.roll_id).map(_as_tuple)
        )
        if rolled is None:
            self._may_have_committed = True
            return self._timeout_outcome()
        if rolled[0] is None:
            return None
        return (
            Accepted(self._head)
            if rolled[0] == self._head
            else _roll_id_conflict(self._request.roll_id)
        )

    def _head_conflict(self, head: Head | None) -> NotAccepted:
        remedy = (
            "print the next version with `siskindale bundle new`, repeat the change, sign, roll"
        )
        if head is None:
            return NotAccepted("another operator has changed the head", remedy, conflict=True)
        row = read_audit_row(self._platform, head.version) if head.version else None
        by = f", rolled by {row.operator}" if row else ""
        version = self._request.signed.bundle.version
        reason = f"the bundle is version {version}, but the head is version {head.version}{by}"
        return NotAccepted(reason, remedy, conflict=True)

    def _commit(self, before: HeadRow, row: AuditRow) -> Result[int, PlatformError]:
        head = attrs.asdict(self._head)
        roll_id = self._request.roll_id
        key = audit.row_key(row.sequence)
        return self._platform.tables.commit(
            [
                Condition(HEAD_TABLE, HEAD_KEY, before.row_version),
                Condition(AUDIT_TABLE, key, 0),
                Condition(ROLL_TABLE, roll_id, 0),
            ],
            [
                Write(HEAD_TABLE, HEAD_KEY, {**head, "audit_hash": row.hash}),
                Write(AUDIT_TABLE, key, audit.to_value(row)),
                Write(ROLL_TABLE, roll_id, {**head, "operator": row.operator}),
            ],
        )

    def _audit_row(self, before: HeadRow) -> AuditRow:
        return audit.with_hash(
            AuditRow(
                sequence=self._head.version,
                operator=self._request.operator,
                action="roll",
                at=self._clock.time(),
                before=before.head.digest,
                after=self._head.digest,
                signers=self._request.signers,
                roll_id=self._request.roll_id,
                previous_hash=before.audit_hash,
            )
        )

    def _took_effect(self) -> bool:
        return read_roll(self._platform, self._request.roll_id).value_or(None) == self._head

    def _attempts(self) -> Iterator[None]:
        """Yields once per attempt until the deadline, with a pause before each further attempt."""
        yield
        while self._clock.monotonic() + RETRY_INTERVAL_S < self._deadline:
            self._sleep(RETRY_INTERVAL_S)
            yield

    def _with_retries(self, call: Callable[[], Result[T, PlatformError]]) -> T | None:
        for _ in self._attempts():
            answer = call()
            if isinstance(answer, Success):
                return answer.unwrap()
            self._record_error(answer.failure())
        return None

    def _record_error(self, error: PlatformError) -> None:
        self._last_error = error.detail

    def _timeout_outcome(self) -> Outcome:
        if self._may_have_committed:
            return Unknown(self._request.roll_id, self._last_error)
        return NotAccepted(self._last_error, "nothing was changed; roll again when the store is up")


def _to_head_row(row: Row | None) -> HeadRow:
    if row is None:
        return HeadRow(Head(0, ""))
    head = Head(row.value["version"], row.value["digest"])
    return HeadRow(head, row.version, row.value.get("audit_hash", ""))


def _as_tuple(head: Head | None) -> tuple[Head | None]:
    return (head,)


def _roll_id_conflict(roll_id: str) -> NotAccepted:
    return NotAccepted(f"roll id {roll_id} belongs to another bundle", "leave out --roll-id")
