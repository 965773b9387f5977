"""In-memory platform that can be down, be slow and lose answers.

Faults are set on `FakePlatform.faults`; `lose_answers` counts commits that take effect although
their answer is lost, `lose_requests` commits that are lost before they take effect, `late_commits`
commits that take effect only at `deliver_late`.
"""

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

DIGEST = re.compile("[0-9a-f]{64}")


@attrs.define
class Faults:
    """Faults in effect; `delay_s` applies to each request."""

    tables_down: bool = False
    objects_down: bool = False
    live_list_down: bool = False
    lose_answers: int = 0
    lose_requests: int = 0
    late_commits: int = 0
    delay_s: float = 0.0
    before_commit: Callable[[], None] | None = None


class FakePlatform:
    """All three services over shared state; `as_platform` gives the interface."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.live = LiveView(frozenset(), frozenset())
        self.version = 0
        self.reads = 0
        self.late: list[tuple[list[Condition], list[Write]]] = []

    def as_platform(self) -> Platform:
        """Returns the services as the programs see them."""
        return Platform(tables=self, objects=_Objects(self), live_list=_LiveList(self))

    def wait(self) -> None:
        """Delays a request by the set fault."""
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the present row, None where it is absent."""
        self.wait()
        self.reads += 1
        if self.faults.tables_down:
            return _unavailable()
        row = self.rows.get((table, key))
        return Success(None if row is None or row.deleted else row)

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version in order of version."""
        self.wait()
        self.reads += 1
        if self.faults.tables_down:
            return _unavailable()
        rows = [r for r in self.rows.values() if r.table == table and r.version > after_version]
        return Success(sorted(rows, key=lambda r: r.version))

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes if all conditions hold."""
        self.wait()
        if hook := self.faults.before_commit:
            self.faults.before_commit = None
            hook()
        if self.faults.tables_down:
            return _unavailable()
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return _unknown()
        if self.faults.late_commits:
            self.faults.late_commits -= 1
            self.late.append((list(conditions), list(writes)))
            return _unknown()
        if not all(self._holds(condition) for condition in conditions):
            return Failure(PlatformError(PlatformFailure.CONFLICT, "condition failed"))
        self.apply(writes)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return _unknown()
        return Success(self.version)

    def _holds(self, condition: Condition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        present = 0 if row is None or row.deleted else row.version
        return present == condition.version

    def deliver_late(self) -> None:
        """Applies the late commits whose conditions still hold."""
        while self.late:
            conditions, writes = self.late.pop(0)
            if all(self._holds(condition) for condition in conditions):
                self.apply(writes)

    def apply(self, writes: Sequence[Write]) -> None:
        """Writes regardless of faults, as another client that the platform still answers."""
        self.version += 1
        for write in writes:
            self.rows[write.table, write.key] = Row(
                write.table, write.key, self.version, write.value or {}, write.value is None
            )


@attrs.frozen
class _Objects:
    platform: FakePlatform

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        self.platform.wait()
        if self.platform.faults.objects_down:
            return _unavailable()
        self.platform.objects[digest] = content
        return Success(None)

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        if not DIGEST.fullmatch(digest):
            raise ValueError(f"not a SHA-256 digest in hexadecimal: {digest!r}")
        self.platform.wait()
        if self.platform.faults.objects_down:
            return _unavailable()
        return Success(self.platform.objects.get(digest))


@attrs.frozen
class _LiveList:
    platform: FakePlatform

    def read(self) -> Result[LiveView, PlatformError]:
        if self.platform.faults.live_list_down:
            return _unavailable()
        return Success(self.platform.live)


def _unavailable() -> Failure:
    return Failure(PlatformError(PlatformFailure.UNAVAILABLE, "the store is down"))


def _unknown() -> Failure:
    return Failure(PlatformError(PlatformFailure.UNKNOWN, "the answer was lost"))
