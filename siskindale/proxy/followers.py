"""Follow the store's tables of the catalog and of the registrations of targets."""

from collections.abc import Callable

import gevent
from gevent.event import Event
from returns.result import Failure, Result, Success

from siskindale.models.vm import ProxySettings
from siskindale.platform.entries import (
    CATALOG_KEY,
    CATALOG_TABLE,
    TARGETS_TABLE,
    catalog_version,
)
from siskindale.proxy import metrics
from siskindale.proxy.state import ProxyState
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived
from siskindale.store.interface import Changes, PlatformError, PlatformFailure, WatchedTables
from siskindale.store.versions import NO_VERSION

# A watch that hangs after an outage without any answer must end, and the next one must succeed,
# this long before a configuration has to be in effect. Longer waits cost fewer calls.
CATALOG_RESERVE_S = 1.0
TIMEOUT_RETRY_S = 0.05
# With an older confirmation, such as after a pause of this VM, the store is asked without a wait.
CONFIRMED_AGE_S = 0.5
# Each read has a cost, so a VM reads only at this interval, and VMs notify each other of changes.
# A VM that gets no notice still learns of a draining target within the time for which it serves.
TARGETS_INTERVAL_S = 5.0
RETRY_S = 0.5
# A VM that becomes an owner of connections has to know their targets at once.
NEED_CHECK_INTERVAL_S = 0.1
# Running targets register again within about two seconds after the store is available again.
MISSING_TIMEOUT_S = 3.0


# A watch that ends without an answer has waited already, so the store is asked again soon. Further
# calls, and those after a refusal, follow after `RETRY_S`.
_FIRST_RETRY_S = {PlatformFailure.HISTORY_LOST: 0.0, PlatformFailure.UNKNOWN: TIMEOUT_RETRY_S}


class TableFollower:
    """Follows one table: reads a snapshot first, then changes."""

    def __init__(self, tables: WatchedTables, table: str, wait_s: float) -> None:
        self._tables = tables
        self._table = table
        self._wait_s = wait_s
        self._version = NO_VERSION
        self._available: bool | None = None
        self._waited_s = 0.0

    @property
    def waited_s(self) -> float:
        """How long the store waited at the last call before it could answer without changes."""
        return self._waited_s

    @property
    def available(self) -> bool:
        """Whether the last call succeeded."""
        return bool(self._available)

    def read_whole(self) -> None:
        """Reads a snapshot next, as changes may have been lost."""
        self._version = NO_VERSION

    def next_changes(self, wait: bool = True) -> Result[tuple[Changes, bool], PlatformError]:
        """Returns changes, and whether they are a snapshot of the complete table.

        Without `wait` the store answers at once, also if nothing has changed.
        """
        self._waited_s = 0.0
        if self._version != NO_VERSION:
            # After an outage, the store is asked at once whether it still has the same history.
            wait_s = self._waited_s = self._wait_s if self.available and wait else 0.0
            watched = self._tables.watch(self._table, self._version, wait_s)
            if not _lost_history(watched):
                return self._finish(watched).map(lambda changes: (changes, False))
            self._count(watched)
            logger().info("history-lost", table=self._table, version=self._version)
            self._version, self._waited_s = NO_VERSION, 0.0
        found = self._tables.snapshot(self._table)
        return self._finish(found).map(lambda changes: (changes, True))

    def _finish(self, answer: Result[Changes, PlatformError]) -> Result[Changes, PlatformError]:
        self._count(answer)
        succeeded = isinstance(answer, Success)
        if isinstance(answer, Success):
            self._version = answer.unwrap().version
        if succeeded != self._available:
            self._available = succeeded
            reason = "" if succeeded else answer.failure().detail
            event = "store-available" if succeeded else "store-unavailable"
            logger().info(event, table=self._table, version=self._version, reason=reason)
        return answer

    def _count(self, answer: Result[Changes, PlatformError]) -> None:
        outcome = "done" if isinstance(answer, Success) else answer.failure().kind.value
        metrics.STORE_CALLS.labels(self._table, outcome).inc()


def _lost_history(answer: Result[Changes, PlatformError]) -> bool:
    lost = PlatformFailure.HISTORY_LOST
    return isinstance(answer, Failure) and answer.failure().kind is lost


def catalog_wait(settings: ProxySettings) -> float:
    """Returns the seconds for which a watch of the catalog waits."""
    limit_s = settings.catalog_apply_s
    if settings.strict_revoke:
        limit_s = min(limit_s, settings.revoke_s)
    return max(CATALOG_RESERVE_S, limit_s - CATALOG_RESERVE_S)


class CatalogFollower:
    """Applies each new catalog as soon as the store has it."""

    def __init__(
        self,
        settings: ProxySettings,
        tables: WatchedTables,
        state: ProxyState,
        notify_peers: Callable[[], None],
    ) -> None:
        self._follower = TableFollower(tables, CATALOG_TABLE, catalog_wait(settings))
        self._state = state
        self._notify_peers = notify_peers
        self._stored_version = 0

    @long_lived("catalog", vital=True)
    def run(self) -> None:
        """Follows until it is killed."""
        self._follower.read_whole()
        while True:
            gevent.sleep(self._follow_once())

    def _follow_once(self) -> float:
        """Waits for changes and applies them; returns the seconds to wait before the next call."""
        was_available = self._follower.available
        asked_at = self._state.now()
        answer = self._follower.next_changes(wait=not self._needs_confirmation())
        if isinstance(answer, Failure):
            kind = answer.failure().kind
            return _FIRST_RETRY_S.get(kind, RETRY_S) if was_available else RETRY_S
        changes, _ = answer.unwrap()
        rows = [row for row in changes.rows if row.key == CATALOG_KEY and not row.deleted]
        adopted = [self._state.adopt_catalog(row.value, "store") for row in rows]
        if any(adopted):
            self._notify_peers()
        if rows:
            self._stored_version = catalog_version(rows[-1].value)
        # A watch without changes is answered only after its wait.
        waited_s = 0.0 if changes.rows else self._follower.waited_s
        confirmed_at = min(self._state.now(), asked_at + waited_s)
        self._state.confirm_catalog(self._stored_version, confirmed_at)
        return 0.0

    def _needs_confirmation(self) -> bool:
        """Returns whether keys would be refused before a watch that waits is answered."""
        return self._state.has_workspaces and self._state.catalog_age_s > CONFIRMED_AGE_S


class TargetsFollower:
    """Applies changes of registrations, and removes targets whose registration stays missing.

    `wait_until_known` returns once `needed` can tell whether this VM uses targets.
    """

    def __init__(
        self,
        tables: WatchedTables,
        state: ProxyState,
        ask_peers: Callable[[], None],
        notify_peers: Callable[[], None],
        wait_until_known: Callable[[], None],
        needed: Callable[[], bool],
    ) -> None:
        self._follower = TableFollower(tables, TARGETS_TABLE, 0)
        self._wait_until_known = wait_until_known
        self._needed = needed
        self._state = state
        self._ask_peers = ask_peers
        self._notify_peers = notify_peers
        self._read_requested = Event()

    def read_soon(self) -> None:
        """Reads the registrations before the regular time, because some of them are outdated."""
        self._read_requested.set()

    @long_lived("targets", vital=True)
    def run(self) -> None:
        """Follows while this VM uses targets, until it is killed."""
        self._wait_until_known()
        self._follower.read_whole()
        while True:
            if not self._needed():
                gevent.sleep(NEED_CHECK_INTERVAL_S)
                continue
            succeeded = self._follow_once()
            gevent.sleep(RETRY_S)
            if succeeded:
                self._read_requested.wait(TARGETS_INTERVAL_S - RETRY_S)
            self._read_requested.clear()

    def _follow_once(self) -> bool:
        was_available = self._follower.available
        asked_at = self._state.now()
        answer = self._follower.next_changes()
        if isinstance(answer, Failure):
            self._ask_peers()
            return False
        changes, snapshot = answer.unwrap()
        entries = {row.key: None if row.deleted else row.value for row in changes.rows}
        if snapshot:
            present = {key: value for key, value in entries.items() if value is not None}
            self._state.replace_targets(present, changes.version, "store")
        else:
            self._state.adopt_targets(entries, changes.version, "store")
        self._state.confirm_targets(asked_at)
        self._notify_peers()
        if was_available:
            self._state.remove_missing(MISSING_TIMEOUT_S)
        else:
            self._state.restart_missing_timeouts()
        return True
