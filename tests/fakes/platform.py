"""In-memory platform with injectable faults, set on `FakePlatform.faults`."""

import re
from collections.abc import Callable, Sequence

import attrs
import gevent
from returns.result import Failure, Result, Success

from siskindale.store.interface import (
    Condition,
    LiveView,
    Platform,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from siskindale.store.versions import commit_of, version_in_era

DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


@attrs.define
class PlatformFaults:
    """Active faults.

    `delay_s` delays each request. The next `lose_answers` commits take effect but their answers
    are lost, the next `lose_requests` commits are lost before they take effect, and the next
    `delayed_commits` commits take effect only when `deliver_delayed_commits` is called.
    """

    tables_down: bool = False
    objects_down: bool = False
    live_list_down: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    delayed_commits: int = 0
    delay_s: float = 0.0
    before_commit: Callable[[], None] | None = None


class FakePlatform:
    """The three platform services on shared state; see `as_platform`."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.live = LiveView(frozenset(), frozenset())
        self.version = 0
        self.reads = 0
        self.delayed: list[tuple[list[Condition], list[Write]]] = []

    def as_platform(self) -> Platform:
        """Returns the platform interface that the programs use."""
        return Platform(tables=self, objects=_Objects(self), live_list=_LiveList(self))

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Tests tell of a restoration themselves."""

    def restore(self, rows: dict[tuple[str, str], Row], era: int) -> None:
        """Replaces all rows by an older copy, with which `era` begins."""
        self.rows = {
            key: attrs.evolve(row, version=version_in_era(era, commit_of(row.version)))
            for key, row in rows.items()
        }
        last = max((commit_of(row.version) for row in self.rows.values()), default=0)
        self.version = version_in_era(era, last)

    def apply_delay(self) -> None:
        """Sleeps for `delay_s`."""
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns a row, or None if it is absent or deleted."""
        self.apply_delay()
        self.reads += 1
        if self.faults.tables_down:
            return _unavailable_failure()
        row = self.rows.get((table, key))
        return Success(None if row is None or row.deleted else row)

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version, ordered by version."""
        self.apply_delay()
        self.reads += 1
        if self.faults.tables_down:
            return _unavailable_failure()
        rows = [r for r in self.rows.values() if r.table == table and r.version > after_version]
        return Success(sorted(rows, key=lambda r: r.version))

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes if all conditions hold."""
        self.apply_delay()
        if hook := self.faults.before_commit:
            self.faults.before_commit = None
            hook()
        if self.faults.tables_down:
            return _unavailable_failure()
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return _unknown_failure()
        if self.faults.delayed_commits:
            self.faults.delayed_commits -= 1
            self.delayed.append((list(conditions), list(writes)))
            return _unknown_failure()
        if not all(self._condition_holds(condition) for condition in conditions):
            return Failure(PlatformError(PlatformFailure.CONFLICT, "condition failed"))
        self.apply_writes(writes)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return _unknown_failure()
        return Success(self.version)

    def _condition_holds(self, condition: Condition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        current_version = 0 if row is None or row.deleted else row.version
        return current_version == condition.version

    def deliver_delayed_commits(self) -> None:
        """Applies the delayed commits whose conditions still hold."""
        while self.delayed:
            conditions, writes = self.delayed.pop(0)
            if all(self._condition_holds(condition) for condition in conditions):
                self.apply_writes(writes)

    def apply_writes(self, writes: Sequence[Write]) -> None:
        """Applies writes, ignoring faults, like another client that can reach the platform."""
        self.version += 1
        for write in writes:
            self.rows[write.table, write.key] = Row(
                write.table, write.key, self.version, write.value or {}, write.value is None
            )


@attrs.frozen
class _Objects:
    platform: FakePlatform

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        self.platform.apply_delay()
        if self.platform.faults.objects_down:
            return _unavailable_failure()
        self.platform.objects[digest] = content
        return Success(None)

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        if not DIGEST_PATTERN.fullmatch(digest):
            raise ValueError(f"not a SHA-256 digest in hexadecimal: {digest!r}")
        self.platform.apply_delay()
        if self.platform.faults.objects_down:
            return _unavailable_failure()
        return Success(self.platform.objects.get(digest))


@attrs.frozen
class _LiveList:
    platform: FakePlatform

    def read(self) -> Result[LiveView, PlatformError]:
        if self.platform.faults.live_list_down:
            return _unavailable_failure()
        return Success(self.platform.live)


def _unavailable_failure() -> Failure:
    return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "the store is down"))


def _unknown_failure() -> Failure:
    return Failure(PlatformError(PlatformFailure.UNKNOWN, "the answer was lost"))
