"""The failover duty: a lock with a fencing token, whose holder may order promotions."""

import itertools
import os
from collections.abc import Callable

import gevent
from returns.result import Failure, Result, Success

from siskindale.models.gossip import HeldDuty
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.tables import Group
from siskindale.runtime.logs import logger
from siskindale.store.interface import (
    Condition,
    PlatformError,
    PlatformFailure,
    Row,
    WatchedTables,
    Write,
)
from siskindale.store.versions import NO_VERSION

DUTY_TABLE = "duties"
DUTY_KEY = "failover"
# A store that answers does so within milliseconds; a promotion does not wait for one that hangs.
CONFIRM_TIMEOUT_S = 0.15


class FailoverDuty:
    """Holder of the duty according to the store; the version of its row is the fencing token."""

    def __init__(
        self,
        settings: ProxySettings,
        tables: WatchedTables,
        key: str = DUTY_KEY,
        on_taken: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._vm = settings.vm
        self._key = key
        self._on_taken = on_taken
        self._boot = os.urandom(16).hex()
        self._takes = itertools.count(1)
        self._tables = tables
        self._holder = ""
        self._version = NO_VERSION
        self._newest_token = NO_VERSION
        self._own_version = NO_VERSION
        self._known = False
        self._held_before_restoration = False

    @property
    def key(self) -> str:
        """Key of the duty's row."""
        return self._key

    @property
    def holder(self) -> str:
        """VM that holds the duty, empty if none does."""
        return self._holder

    @property
    def known(self) -> bool:
        """Whether the row has been read since the start and since the store was restored."""
        return self._known

    @property
    def token(self) -> int | None:
        """Fencing token of this VM, None while it does not hold the duty.

        An answer of the store that was delayed may still name this VM after a peer took the duty.
        """
        held = self._own_version != NO_VERSION and self._own_version == self._version
        return self._version if held and self._version >= self._newest_token else None

    @property
    def held_before_restoration(self) -> bool:
        """Whether the store was restored while this VM held the duty, which it has to take again.

        Until then it promotes with its old token, which the platform refuses after a newer one.
        """
        return self._held_before_restoration

    def adopt_holder(self, holder: str, token: int) -> None:
        """Records that a peer holds the duty, if its token is newer than the known one."""
        if token <= max(self._version, self._newest_token):
            return
        if self.token is not None:
            logger().info("duty-lost", key=self._key, holder=holder, fencing_token=token)
        self._version = self._newest_token = token
        self._holder = holder

    def note_restored(self) -> None:
        """Records that the store was restored, so that its row may be missing or an older one."""
        self._known = False
        self._held_before_restoration = self.token is not None

    def refresh(self) -> bool:
        """Reads the row; returns whether the store answered."""
        return isinstance(self._read_row(), Success)

    def confirm(self) -> bool:
        """Reads the row, for a step that nobody but the holder may take.

        Returns whether the store answered in time.
        """
        reading = gevent.spawn(self.refresh)
        reading.join(CONFIRM_TIMEOUT_S)
        answered = reading.ready() and bool(reading.value)
        if not answered:
            logger().info("duty-unconfirmed", key=self._key, fencing_token=self._version)
        return answered

    def take(self, reason: str) -> bool:
        """Takes the duty with a new token, unless the row has changed since it was read."""
        if not self._known and not self.refresh():
            return False
        value = {"holder": self._vm, "boot": self._boot, "take": next(self._takes)}
        committed = self._tables.commit(
            [Condition(DUTY_TABLE, self._key, self._version)],
            [Write(DUTY_TABLE, self._key, value)],
        )
        self._count("commit", committed)
        self._held_before_restoration = False
        if isinstance(committed, Failure):
            return self._resolve_failed_take(committed.failure().kind, value, reason)
        self._note_taken(committed.unwrap(), reason)
        return True

    def _read_row(self) -> Result[Row | None, PlatformError]:
        found = self._tables.read(DUTY_TABLE, self._key)
        self._count("read", found)
        if isinstance(found, Failure):
            logger().warning("duty-read-failed", reason=found.failure().detail)
            return found
        row = found.unwrap()
        self._known = True
        self._version = row.version if row else NO_VERSION
        self._holder = str(row.value.get("holder", "")) if row else ""
        return found

    def _note_taken(self, version: int, reason: str) -> None:
        self._version = self._own_version = version
        self._newest_token = max(self._newest_token, version)
        self._holder = self._vm
        logger().info("duty-taken", key=self._key, fencing_token=version, reason=reason)
        self._on_taken(self._key)

    def _resolve_failed_take(
        self, kind: PlatformFailure, value: dict[str, object], reason: str
    ) -> bool:
        """Reads the row again after a failed attempt; returns whether this VM took the duty.

        A call without an answer may have been carried out.
        """
        row = self._read_row().value_or(None)
        if row is not None and row.value == value:
            self._note_taken(row.version, reason)
            return True
        logger().info(
            "duty-not-taken",
            key=self._key,
            failure=kind.value,
            holder=self._holder,
            fencing_token=self._version,
            reason=reason,
        )
        return False

    @staticmethod
    def _count(call: str, answer: object) -> None:
        outcome = "failed" if isinstance(answer, Failure) else "done"
        metrics.STORE_CALLS.labels(f"duty-{call}", outcome).inc()


class Duties:
    """The failover duty of each group: one for all groups while each VM owns all connections.

    In a larger fleet each group has a duty of its own, because only its owners can judge it.
    """

    def __init__(
        self, settings: ProxySettings, tables: WatchedTables, ownership: Ownership
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._ownership = ownership
        self._duties: dict[str, FailoverDuty] = {}
        self._taken_handler: Callable[[str], None] = lambda _: None

    def on_taken(self, handler: Callable[[str], None]) -> None:
        """Sets the handler that gets the key of each duty that this VM has taken."""
        self._taken_handler = handler

    def of(self, group: Group) -> FailoverDuty:
        """Returns the duty by which the primary of a group is replaced."""
        shared = self._ownership.owns_everything(group)
        return self._by_key(DUTY_KEY if shared else f"{DUTY_KEY}/{group.name}")

    def _by_key(self, key: str) -> FailoverDuty:
        if key not in self._duties:
            self._duties[key] = FailoverDuty(
                self._settings, self._tables, key, lambda taken: self._taken_handler(taken)
            )
        return self._duties[key]

    def adopt_holder(self, holder: str, held: HeldDuty) -> None:
        """Records that a peer holds a duty, if it is one of those that this VM may hold."""
        if held.key in self._duties:
            self._duties[held.key].adopt_holder(holder, held.fencing_token)

    def report(self) -> tuple[HeldDuty, ...]:
        """Returns the duties that this VM holds, for its peers."""
        return tuple(HeldDuty(duty.key, duty.token) for duty in self.held() if duty.token)

    def note_restored(self) -> None:
        """Records that the store was restored, so that each duty has to be read again."""
        for duty in self._duties.values():
            duty.note_restored()

    def held(self) -> list[FailoverDuty]:
        """Returns the duties that this VM holds."""
        return [duty for duty in self._duties.values() if duty.token is not None]
