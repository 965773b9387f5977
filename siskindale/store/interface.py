"""Interfaces of the platform services that siskindale uses.

Every call is bounded by the timeout in the platform settings. After a failure, the request may have
taken effect only if the kind is `UNKNOWN`. `HISTORY_LOST` occurs only in reads.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

import attrs
from returns.result import Result

from siskindale.registry import Registry

if TYPE_CHECKING:
    from siskindale.models.settings import PlatformSettings


class PlatformFailure(enum.StrEnum):
    """Kinds of failure of a platform request."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    HISTORY_LOST = "history-lost"


@attrs.frozen
class PlatformError:
    """Failure of a platform request; `detail` is for logs and messages."""

    kind: PlatformFailure
    detail: str


@attrs.frozen
class Row:
    """Row of the table service; `version` increases with each commit to any row.

    With a driver that knows the service's era, it also increases when the service is restored from
    an older copy (`siskindale.store.versions`).
    """

    table: str
    key: str
    version: int
    value: dict[str, Any]
    deleted: bool = False


@attrs.frozen
class Condition:
    """The row must have exactly this version; 0 means that it must be absent."""

    table: str
    key: str
    version: int


@attrs.frozen
class Write:
    """New value of a row; None deletes it."""

    table: str
    key: str
    value: dict[str, Any] | None


@attrs.frozen
class Changes:
    """Rows changed after a version, including deleted ones; `version` is where to continue."""

    rows: tuple[Row, ...]
    version: int


@attrs.frozen
class LiveView:
    """VMs that are live, and VMs and targets that are leaving; may be outdated or wrong."""

    live: frozenset[str]
    leaving: frozenset[str]


class TableService(Protocol):
    """Transactional tables."""

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era when the service was restored from an older copy."""
        ...

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the current row, None if it is absent."""
        ...

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version, including deleted ones, in order of version."""
        ...

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        ...


class WatchedTables(Protocol):
    """Transactional tables that can be watched for changes."""

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era when the store was restored from an older copy."""
        ...

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the current row, None if it is absent."""
        ...

    def snapshot(self, table: str) -> Result[Changes, PlatformError]:
        """Returns all rows of a table as of one version."""
        ...

    def watch(self, table: str, after: int, wait_s: float) -> Result[Changes, PlatformError]:
        """Waits up to `wait_s` for changes; after `HISTORY_LOST`, a new snapshot is needed."""
        ...

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        ...


class ObjectStore(Protocol):
    """Immutable objects, stored under the SHA-256 of their content."""

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        """Stores an object; storing it again has no effect."""
        ...

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Returns an object, None if it is absent."""
        ...


class LiveList(Protocol):
    """The platform's list of live and leaving VMs and targets."""

    def read(self) -> Result[LiveView, PlatformError]:
        """Returns the current view."""
        ...


@attrs.frozen
class Platform:
    """The three platform services."""

    tables: TableService
    objects: ObjectStore
    live_list: LiveList


class PlatformFactory(Protocol):
    """Connects to a platform by its settings."""

    def __call__(self, settings: PlatformSettings) -> Platform:
        """Returns the platform's services; connections are opened on first use."""
        ...


PLATFORM_DRIVERS: Registry[PlatformFactory] = Registry("platform driver")
