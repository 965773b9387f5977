"""The failover duty: one VM at a time may order promotions, under a fencing token."""

import os

import gevent
from returns.result import Failure

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.vm import ProxySettings
from siskindale.proxy import metrics
from siskindale.proxy.peers import Peers
from siskindale.proxy.state import ProxyState
from siskindale.runtime.logs import logger
from siskindale.store.interface import Condition, PlatformFailure, WatchedTables, Write

TABLE = "duties"
KEY = "failover"
CHECK_INTERVAL_S = 1.0
# VMs check one after the other, so that one takes the duty before the next one looks.
RANK_STEP = 0.3
ORPHANED_S = 4.0


class FailoverDuty:
    """Holder of the duty as the store knows it; the version of its row is the fencing token."""

    def __init__(self, settings: ProxySettings, tables: WatchedTables) -> None:
        self._vm = settings.vm
        self._boot = os.urandom(16).hex()
        self._tables = tables
        self._holder = ""
        self._holder_boot = ""
        self._version = 0
        self._known = False

    @property
    def holder(self) -> str:
        """VM that holds the duty, empty for none."""
        return self._holder

    @property
    def known(self) -> bool:
        """Whether the row has been read since the start."""
        return self._known

    @property
    def token(self) -> int | None:
        """Fencing token of this VM, None while another one holds the duty."""
        return self._version if self._holder_boot == self._boot else None

    def learn(self, holder: str, token: int) -> None:
        """Takes over from a peer who holds the duty under a newer token."""
        if token > self._version:
            self._version = token
            self._holder, self._holder_boot = holder, ""

    def refresh(self) -> bool:
        """Reads the row; returns whether the store answered."""
        found = self._tables.read(TABLE, KEY)
        self._count("read", found)
        if isinstance(found, Failure):
            logger().warning("duty-read-failed", reason=found.failure().detail)
            return False
        row = found.unwrap()
        self._known = True
        self._version = row.version if row else 0
        self._holder = str(row.value.get("holder", "")) if row else ""
        self._holder_boot = str(row.value.get("boot", "")) if row else ""
        return True

    def take(self, reason: str) -> bool:
        """Takes the duty under a new token, if nobody took it since the row was read."""
        if not self._known and not self.refresh():
            return False
        value = {"holder": self._vm, "boot": self._boot}
        committed = self._tables.commit(
            [Condition(TABLE, KEY, self._version)], [Write(TABLE, KEY, value)]
        )
        self._count("commit", committed)
        if isinstance(committed, Failure):
            return self._not_taken(committed.failure().kind, reason)
        self._version = committed.unwrap()
        self._holder, self._holder_boot = self._vm, self._boot
        logger().info("duty-taken", fencing_token=self._version, reason=reason)
        return True

    def _not_taken(self, kind: PlatformFailure, reason: str) -> bool:
        """Reads who holds the duty after a failed or unanswered attempt."""
        before = self._version
        refreshed = self.refresh()
        taken = refreshed and self.token is not None and self._version != before
        logger().info(
            "duty-not-taken" if not taken else "duty-taken",
            failure=kind.value,
            holder=self._holder,
            fencing_token=self._version,
            reason=reason,
        )
        return taken

    @staticmethod
    def _count(call: str, answer: object) -> None:
        outcome = "failed" if isinstance(answer, Failure) else "done"
        metrics.STORE_CALLS.labels(f"duty-{call}", outcome).inc()


def rank(key: str, vm: str, peers: Peers) -> int:
    """Returns the place of a VM among the live ones, 0 for the first; it differs by `key`."""
    own = rendezvous_score(key, vm)
    return sum(rendezvous_score(key, peer.vm) > own for peer in peers.live() if not peer.draining)


class DutyKeeper:
    """Takes the duty while nobody holds it, so that a token exists before it is needed."""

    def __init__(
        self, settings: ProxySettings, state: ProxyState, peers: Peers, duty: FailoverDuty
    ) -> None:
        self._settings = settings
        self._state = state
        self._peers = peers
        self._duty = duty
        self._orphaned_since: float | None = None

    def run(self) -> None:
        """Checks who holds the duty until it is killed."""
        while True:
            gevent.sleep(CHECK_INTERVAL_S * (1 + self._rank() * RANK_STEP))
            if self._state.ready:
                self._check()

    def _check(self) -> None:
        if not self._duty.known and not self._duty.refresh():
            return
        if self._duty.token is not None:
            return
        if self._duty.holder in ("", self._settings.vm):
            self._duty.take("held by an earlier start" if self._duty.holder else "vacant")
            return
        now = self._state.now()
        live = {peer.vm for peer in self._peers.live() if not peer.draining}
        if self._duty.holder in live:
            self._orphaned_since = None
            return
        self._orphaned_since = self._orphaned_since or now
        if now - self._orphaned_since >= ORPHANED_S and self._rank() == 0:
            self._orphaned_since = None
            self._duty.take("holder is gone")

    def _rank(self) -> int:
        return rank(KEY, self._settings.vm, self._peers)
