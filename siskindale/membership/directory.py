"""Directory of the VMs: rows of the table service combined with the platform's live list.

Rows are written only at start and on change. Periodic renewal would exceed the control budget for
calls to the table service and for the traffic of each node.
"""

from collections.abc import Callable, Iterable

import attrs
import gevent
from gevent.pool import Group
from returns.result import Success

from siskindale.config.loader import structure
from siskindale.models.member import Member
from siskindale.models.settings import Settings
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise
from siskindale.store.interface import Condition, Platform, PlatformFailure, Write

MEMBERS_TABLE = "members"
REFRESH_INTERVAL_S = 2.0
ANNOUNCE_RETRY_INTERVAL_S = 1.0

Listener = Callable[[], None]


def member_from_settings(settings: Settings) -> Member:
    """Returns the member described by the settings of a VM."""
    return Member(
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        region=settings.region,
        entry=settings.entry.inbox,
        pool=settings.pool.inbox,
        controller=settings.controller.inbox,
    )


def member_to_row(member: Member) -> dict[str, object]:
    """Converts a member to a row value."""
    return attrs.asdict(member)


def member_from_row(value: dict[str, object]) -> Member:
    """Converts a row value to a member."""
    return structure(value, Member, MEMBERS_TABLE).unwrap()


class Directory:
    """Tracks the members and the live list; keeps the last view while the platform is down."""

    def __init__(self, settings: Settings, platform: Platform) -> None:
        self._own = member_from_settings(settings)
        self._platform = platform
        self._members_by_vm: dict[str, Member] = {self._own.vm: self._own}
        self._version = 0
        self._revision = 0
        self._live: frozenset[str] | None = None
        self._leaving: frozenset[str] = frozenset()
        self._listeners: list[Listener] = []
        self._tasks = Group()

    @property
    def own_member(self) -> Member:
        """Member of the VM that this program runs on."""
        return self._own

    @property
    def members(self) -> list[Member]:
        """Members on the live list that are not leaving; all members while the list is unknown.

        The own VM always counts as live, because this program runs on it.
        """
        return [m for m in self._members_by_vm.values() if self._is_live(m.vm)]

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the VMs and targets that the platform asks to leave."""
        return self._leaving

    @property
    def inbox_urls(self) -> list[str]:
        """Inbox URLs of all programs of live members, including those of the own VM."""
        return [url for member in self.members for url in member.inbox_urls]

    @property
    def revision(self) -> int:
        """Number of changes of the view since the program started."""
        return self._revision

    @property
    def all_members(self) -> tuple[Member, ...]:
        """All members, live or not."""
        return tuple(self._members_by_vm.values())

    @property
    def live(self) -> frozenset[str] | None:
        """Names on the live list, None while it is unknown."""
        return self._live

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` after each change of the view."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Writes the own row and polls the platform; only one program of each VM does this."""
        self._platform.tables.on_restored(self._note_restored)
        self._tasks.spawn(self._announce_until_written)
        self._tasks.add(supervise(self._refresh_periodically))

    def stop(self) -> None:
        """Ends what `start` has started."""
        self._tasks.kill()

    def refresh(self) -> bool:
        """Reads the changes from the platform; returns whether the view changed."""
        before = (dict(self._members_by_vm), self._live, self._leaving)
        self._read_members()
        self._read_live_list()
        return self._notify_if_changed(before != (self._members_by_vm, self._live, self._leaving))

    def replace_view(
        self, rows: Iterable[Member], live: frozenset[str] | None, leaving: frozenset[str]
    ) -> bool:
        """Replaces the view by that of the VM's controller; returns whether it changed."""
        members = {row.vm: row for row in rows} | {self._own.vm: self._own}
        changed = (members, live, leaving) != (self._members_by_vm, self._live, self._leaving)
        self._members_by_vm, self._live, self._leaving = members, live, leaving
        # The view does not list deletions, so a later read of the tables must report every row.
        self._version = 0
        return self._notify_if_changed(changed)

    def announce(self) -> bool:
        """Writes the own row unless it is already stored; returns whether it is stored now."""
        found = self._platform.tables.read(MEMBERS_TABLE, self._own.vm)
        if not isinstance(found, Success):
            return False
        row = found.unwrap()
        value = member_to_row(self._own)
        if row is not None and row.value == value:
            return True
        condition = Condition(MEMBERS_TABLE, self._own.vm, row.version if row else 0)
        written = self._platform.tables.commit(
            [condition], [Write(MEMBERS_TABLE, self._own.vm, value)]
        )
        if isinstance(written, Success):
            logger().info("member-announced", vm=self._own.vm)
            return True
        if written.failure().kind is PlatformFailure.UNKNOWN:
            logger().info("member-announcement-unknown", vm=self._own.vm)
        return False

    def _notify_if_changed(self, changed: bool) -> bool:
        if changed:
            self._revision += 1
            for listener in self._listeners:
                listener()
        return changed

    def _is_live(self, vm: str) -> bool:
        if vm in self._leaving:
            return False
        return vm == self._own.vm or self._live is None or vm in self._live

    def _note_restored(self, era: int) -> None:
        """Writes the own row again, because the restored table may lack it."""
        logger().warning("store-restored", era=era)
        self._tasks.spawn(self._announce_until_written)

    def _announce_until_written(self) -> None:
        while not self.announce():
            gevent.sleep(ANNOUNCE_RETRY_INTERVAL_S)

    @long_lived("members-table", vital=True)
    def _refresh_periodically(self) -> None:
        while True:
            self.refresh()
            gevent.sleep(REFRESH_INTERVAL_S)

    def _read_members(self) -> None:
        found = self._platform.tables.scan(MEMBERS_TABLE, self._version)
        for row in found.value_or([]):
            self._version = max(self._version, row.version)
            if row.deleted:
                self._members_by_vm.pop(row.key, None)
            else:
                self._members_by_vm[row.key] = member_from_row(row.value)
        self._members_by_vm[self._own.vm] = self._own

    def _read_live_list(self) -> None:
        found = self._platform.live_list.read()
        if isinstance(found, Success):
            view = found.unwrap()
            self._live, self._leaving = view.live, view.leaving
