"""The failover duty: a lock with a fencing token, whose holder may order promotions."""

import itertools
import os
from collections.abc import Iterable

import gevent
from returns.result import Failure, Result, Success

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.ownership import Ownership
from siskindale.proxy.peers import Peer, Peers
from siskindale.proxy.state import ProxyState
from siskindale.proxy.tables import Group
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived
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
CHECK_INTERVAL_S = 1.0
# Share of the check interval that is added per rank, so that VMs check one after another and the
# first one takes the duty before the next one checks.
RANK_INTERVAL_SHARE = 0.3
ORPHANED_TIMEOUT_S = 4.0


class FailoverDuty:
    """Holder of the duty according to the store; the version of its row is the fencing token."""

    def __init__(self, settings: ProxySettings, tables: WatchedTables, key: str = DUTY_KEY) -> None:
        self._vm = settings.vm
        self._key = key
        self._boot = os.urandom(16).hex()
        self._takes = itertools.count(1)
        self._tables = tables
        self._holder = ""
        self._version = NO_VERSION
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
        """Fencing token of this VM, None while it does not hold the duty."""
        held = self._own_version != NO_VERSION and self._own_version == self._version
        return self._version if held else None

    @property
    def held_before_restoration(self) -> bool:
        """Whether the store was restored while this VM held the duty, which it has to take again.

        Until then it promotes with its old token, which the platform refuses after a newer one.
        """
        return self._held_before_restoration

    def adopt_holder(self, holder: str, token: int) -> None:
        """Records that a peer holds the duty, if its token is newer than the known one."""
        if token > self._version:
            self._version, self._holder = token, holder

    def note_restored(self) -> None:
        """Records that the store was restored, so that its row may be missing or an older one."""
        self._known = False
        self._held_before_restoration = self.token is not None

    def refresh(self) -> bool:
        """Reads the row; returns whether the store answered."""
        return isinstance(self._read_row(), Success)

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
        self._holder = self._vm
        logger().info("duty-taken", key=self._key, fencing_token=version, reason=reason)

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

    def of(self, group: Group) -> FailoverDuty:
        """Returns the duty by which the primary of a group is replaced."""
        shared = self._ownership.owns_everything(group)
        key = DUTY_KEY if shared else f"{DUTY_KEY}/{group.name}"
        if key not in self._duties:
            self._duties[key] = FailoverDuty(self._settings, self._tables, key)
        return self._duties[key]

    def note_restored(self) -> None:
        """Records that the store was restored, so that each duty has to be read again."""
        for duty in self._duties.values():
            duty.note_restored()

    def held(self) -> list[FailoverDuty]:
        """Returns the duties that this VM holds."""
        return [duty for duty in self._duties.values() if duty.token is not None]


def vm_rank(key: str, vm: str, peers: Iterable[Peer]) -> int:
    """Returns the rank of a VM among live peers, 0 for the first; it depends on `key`."""
    own_score = rendezvous_score(key, vm)
    return sum(rendezvous_score(key, peer.vm) > own_score for peer in peers if not peer.draining)


class DutyKeeper:
    """Takes each duty while nobody holds it, so that a token exists before it is needed."""

    def __init__(
        self,
        settings: ProxySettings,
        state: ProxyState,
        peers: Peers,
        ownership: Ownership,
        duties: Duties,
    ) -> None:
        self._settings = settings
        self._state = state
        self._peers = peers
        self._ownership = ownership
        self._duties = duties
        self._orphaned_since: dict[str, float] = {}

    @long_lived("duty")
    def run(self) -> None:
        """Checks regularly who holds the duties, until it is killed."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            if not self._state.ready:
                continue
            for group in self._group_of_each_duty():
                delay_s = CHECK_INTERVAL_S * self._rank(group) * RANK_INTERVAL_SHARE
                gevent.spawn_later(delay_s, self._check, group)

    def note_restored(self) -> None:
        """Takes the held duties again, because the store may have lost their rows."""
        self._duties.note_restored()
        for group in self._group_of_each_duty():
            if self._duties.of(group).held_before_restoration:
                gevent.spawn(self._check, group)

    def _group_of_each_duty(self) -> list[Group]:
        owned = [g for g in self._state.groups.values() if self._ownership.owns(g)]
        return list({self._duties.of(group).key: group for group in owned}.values())

    def _check(self, group: Group) -> None:
        duty = self._duties.of(group)
        if duty.held_before_restoration:
            duty.take("the store was restored")
            return
        if not duty.known and not duty.refresh():
            return
        if duty.token is not None:
            return
        if duty.holder in ("", self._settings.vm):
            duty.take("held by an earlier start" if duty.holder else "vacant")
            return
        now = self._state.now()
        live = {peer.vm for peer in self._peers.live_owners(group) if not peer.draining}
        if duty.holder in live:
            self._orphaned_since.pop(duty.key, None)
            return
        orphaned_since = self._orphaned_since.setdefault(duty.key, now)
        if now - orphaned_since >= ORPHANED_TIMEOUT_S and self._rank(group) == 0:
            del self._orphaned_since[duty.key]
            duty.take("holder is gone")

    def _rank(self, group: Group) -> int:
        key = self._duties.of(group).key
        return vm_rank(key, self._settings.vm, self._peers.live_owners(group))
