"""What siskindale needs of the platform.

Every call is bounded by the timeout of the platform settings. A failure says whether the request
may have taken effect: only `UNKNOWN` may have. `HISTORY_LOST` concerns reading only.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
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
    """Failure of a platform request with a detail for logs and messages."""

    kind: PlatformFailure
    detail: str


@attrs.frozen
class Row:
    """Row of the table service; `version` grows with each commit to any row."""

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
    """Rows changed after a version, deleted ones included; `version` is where to continue."""

    rows: tuple[Row, ...]
    version: int


@attrs.frozen
class LiveView:
    """VMs that are live, and VMs and targets that are leaving; may lag and be wrong."""

    live: frozenset[str]
    leaving: frozenset[str]


class TableService(Protocol):
    """Transactional tables."""

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the present row, None where it is absent."""
        ...

    def scan(self, table: str, after_version: int = 0) -> Result[list[Row], PlatformError]:
        """Returns rows changed after a version, deleted ones included, in order of version."""
        ...

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        ...


class WatchedTables(Protocol):
    """Tables whose changes can be awaited."""

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the present row, None where it is absent."""
        ...

    def snapshot(self, table: str) -> Result[Changes, PlatformError]:
        """Returns all rows of a table as of one version."""
        ...

    def watch(self, table: str, after: int, wait_s: float) -> Result[Changes, PlatformError]:
        """Waits up to `wait_s` for changes; `HISTORY_LOST` calls for a new snapshot."""
        ...

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        ...


class ObjectStore(Protocol):
    """Immutable objects under the SHA-256 of their content."""

    def put(self, digest: str, content: bytes) -> Result[None, PlatformError]:
        """Stores an object; storing it again has no effect."""
        ...

    def get(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Returns an object, None where it is absent."""
        ...


class LiveList(Protocol):
    """The platform's list of VMs."""

    def read(self) -> Result[LiveView, PlatformError]:
        """Returns the present view."""
        ...


@attrs.frozen
class Platform:
    """The three services together."""

    tables: TableService
    objects: ObjectStore
    live_list: LiveList


class PlatformFactory(Protocol):
    """Connects to a platform by its settings."""

    def __call__(self, settings: PlatformSettings) -> Platform:
        """Returns the platform's services; opens connections when first used."""
        ...


PLATFORM_DRIVERS: Registry[PlatformFactory] = Registry("platform driver")
