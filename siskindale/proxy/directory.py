"""Directory of the fleet's VMs in the store.

It tells a VM that starts whom to ask, also when all VMs start at once and have nobody to ask. A row
shows that a VM was there once; it becomes a member when it answers. Rows of VMs that nobody has
heard for long are removed, and a VM that was forgotten lists itself again when it is heard.
"""

from collections.abc import Sequence
from random import Random

import gevent
import msgspec
from returns.result import Failure

from siskindale.context import Clock
from siskindale.models.members import MemberFact, MemberFacts
from siskindale.proxy import metrics
from siskindale.proxy.decisions.ownership import FULL_OWNERSHIP_VMS
from siskindale.proxy.members import Membership
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived
from siskindale.store.interface import Condition, Row, WatchedTables, Write
from siskindale.transport import codec

DIRECTORY_TABLE = "members"
# The first retries come soon, because clients wait for a VM that starts while the store returns.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5
# Without the directory, VMs that start together know each other after a few exchanges.
SETTLE_TIMEOUT_S = 1.5
# Nobody who is still unknown after this time without a change is expected to be found sooner.
QUIET_S = 0.3
SETTLE_CHECK_INTERVAL_S = 0.05
# In a larger fleet it matters who answers. VMs that run answer within a few round trips.
ANSWER_WAIT_S = 0.05
REMOVE_INTERVAL_S = 30.0
MAX_REMOVED_AT_ONCE = 20
# A VM checks at most this often whether it is still listed.
RELIST_INTERVAL_S = 60.0
# The operator and the targets write again at the same time and come first.
RELIST_SPREAD_S = 2.0


class Directory:
    """Reads the directory once, and lists this VM in it."""

    def __init__(
        self, tables: WatchedTables, membership: Membership, random: Random, clock: Clock
    ) -> None:
        self._tables = tables
        self._now = clock.monotonic
        self._membership = membership
        self._random = random
        self._settled = gevent.event.Event()
        self._relisted_at = -RELIST_INTERVAL_S
        self._removed: set[str] = set()
        membership.on_returned(self._note_returned)

    @property
    def settled(self) -> bool:
        """Whether enough of the fleet is known to tell who owns what."""
        return self._settled.is_set()

    def wait_until_settled(self, timeout_s: float | None = None) -> bool:
        """Waits until the fleet is known, or for `timeout_s`; returns whether it is known."""
        return self._settled.wait(timeout_s)

    @long_lived("directory")
    def run(self) -> None:
        """Reads the directory and lists this VM, then removes the rows of VMs that are gone."""
        gevent.spawn(self._settle_without_directory)
        retry_s = RETRY_MIN_S
        while not self._join():
            gevent.sleep(retry_s)
            retry_s = min(RETRY_MAX_S, 2 * retry_s)
        while True:
            gevent.sleep(REMOVE_INTERVAL_S)
            self.remove_lost()

    def _settle_without_directory(self) -> None:
        """Settles once other VMs are known and no more turn up, or after a limit."""
        for _ in range(int(SETTLE_TIMEOUT_S / SETTLE_CHECK_INTERVAL_S)):
            gevent.sleep(SETTLE_CHECK_INTERVAL_S)
            if self._settled.is_set() or self._membership.quiet_for(QUIET_S):
                break
        self._settled.set()

    def note_restored(self) -> None:
        """Lists this VM again, because the store may have lost its row."""
        gevent.spawn_later(self._random.uniform(0, RELIST_SPREAD_S), self._list_again)

    def _join(self) -> bool:
        found = self._tables.snapshot(DIRECTORY_TABLE)
        self._count("read", found)
        if isinstance(found, Failure):
            logger().info("directory-unreadable", reason=found.failure().detail)
            return False
        own = self._membership.table.own
        facts = {row.key: decode_row(row.key, row.value) for row in found.unwrap().rows}
        listed = facts.get(own.vm)
        self._membership.consider([fact for fact in facts.values() if fact is not None])
        logger().info("directory-read", members=len(facts), listed=listed is not None)
        if listed is not None and _same_place(listed, own):
            # This VM was listed by an earlier run, so the others were listed, too.
            if len(facts) > FULL_OWNERSHIP_VMS:
                gevent.sleep(ANSWER_WAIT_S)
            self._settled.set()
            return True
        return self._write_own_row()

    def _note_returned(self) -> None:
        """Checks that this VM is listed, as others may have removed its row in a partition."""
        now = self._now()
        if now - self._relisted_at >= RELIST_INTERVAL_S:
            self._relisted_at = now
            gevent.spawn_later(self._random.uniform(0, RELIST_SPREAD_S), self._list_again)

    def remove_lost(self) -> None:
        """Removes the rows for which this VM is responsible; no call to the store without any."""
        lost = {fact.vm: fact for fact in self._membership.lost_to_remove()}
        self._removed &= lost.keys()
        pending = [fact for vm, fact in lost.items() if vm not in self._removed]
        rows: list[Row] = []
        for fact in pending[:MAX_REMOVED_AT_ONCE]:
            found = self._tables.read(DIRECTORY_TABLE, fact.vm)
            self._count("read", found)
            if isinstance(found, Failure):
                logger().info("directory-unreadable", reason=found.failure().detail)
                return
            self._removed.add(fact.vm)
            row = found.unwrap()
            listed = decode_row(fact.vm, row.value) if row else None
            if row is not None and listed is not None and _same_place(listed, fact):
                rows.append(row)
        if rows:
            self._remove(rows)

    def _remove(self, rows: Sequence[Row]) -> None:
        """Removes rows unless one of them has been written again in the meantime."""
        removed = self._tables.commit(
            [Condition(DIRECTORY_TABLE, row.key, row.version) for row in rows],
            [Write(DIRECTORY_TABLE, row.key, None) for row in rows],
        )
        self._count("remove", removed)
        if isinstance(removed, Failure):
            self._removed -= {row.key for row in rows}
            logger().info("directory-rows-kept", reason=removed.failure().detail)
            return
        logger().info("directory-rows-removed", members=",".join(row.key for row in rows))

    def _list_again(self) -> None:
        while not self._ensure_listed():
            gevent.sleep(RETRY_MAX_S)

    def _ensure_listed(self) -> bool:
        own = self._membership.table.own
        found = self._tables.read(DIRECTORY_TABLE, own.vm)
        self._count("read", found)
        if isinstance(found, Failure):
            logger().info("directory-unreadable", reason=found.failure().detail)
            return False
        row = found.unwrap()
        listed = decode_row(row.key, row.value) if row else None
        return (listed is not None and _same_place(listed, own)) or self._write_own_row()

    def _write_own_row(self) -> bool:
        own = self._membership.table.own
        written = self._tables.commit(
            [], [Write(DIRECTORY_TABLE, own.vm, msgspec.to_builtins(own))]
        )
        self._count("write", written)
        if isinstance(written, Failure):
            logger().info("directory-not-written", reason=written.failure().detail)
            return False
        logger().info("directory-written")
        return True

    @staticmethod
    def _count(call: str, answer: object) -> None:
        outcome = "failed" if isinstance(answer, Failure) else "done"
        metrics.STORE_CALLS.labels(f"directory-{call}", outcome).inc()


def decode_row(vm: str, value: object) -> MemberFact | None:
    """Returns the fact in a row, None if the row is of another writer.

    A fact is passed on to other VMs, so it has to fit into a message.
    """
    try:
        fact = msgspec.convert(value, MemberFact)
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        logger().warning("directory-row-malformed", member=vm, reason=str(error))
        return None
    if fact.vm != vm or not codec.can_be_encoded(MemberFacts((fact,))):
        logger().warning("directory-row-malformed", member=vm, reason="not a member's own fact")
        return None
    return fact


def _same_place(listed: MemberFact, own: MemberFact) -> bool:
    return (listed.peers, listed.forwarding, listed.capacity) == (
        own.peers,
        own.forwarding,
        own.capacity,
    )
