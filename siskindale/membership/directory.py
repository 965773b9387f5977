"""Directory of the VMs: rows of the table service joined with the platform's live list.

Rows are written at start and on change only; renewing them would cost more of the table service and
of each node's traffic than the whole control budget allows.
"""

from collections.abc import Callable, Iterable

import attrs
import gevent
from returns.result import Success

from siskindale.config.loader import structure
from siskindale.models.member import Member
from siskindale.models.settings import Settings
from siskindale.runtime.logs import logger
from siskindale.store.interface import Condition, Platform, PlatformFailure, Write

MEMBERS = "members"
REFRESH_S = 2.0
ANNOUNCE_RETRY_S = 1.0

Listener = Callable[[], None]


def member_of(settings: Settings) -> Member:
    """Returns the member that the settings of a VM describe."""
    return Member(
        vm=settings.vm,
        failure_domain=settings.failure_domain,
        region=settings.region,
        entry=settings.entry.inbox,
        pool=settings.pool.inbox,
        controller=settings.controller.inbox,
    )


def to_row(member: Member) -> dict[str, object]:
    """Returns the row value of a member."""
    return attrs.asdict(member)


def from_row(value: dict[str, object]) -> Member:
    """Returns the member of a row value."""
    return structure(value, Member, MEMBERS).unwrap()


class Directory:
    """Follows the members and the live list; keeps the last view while the platform is down."""

    def __init__(self, settings: Settings, platform: Platform) -> None:
        self._own = member_of(settings)
        self._platform = platform
        self._rows: dict[str, Member] = {self._own.vm: self._own}
        self._version = 0
        self._revision = 0
        self._live: frozenset[str] | None = None
        self._leaving: frozenset[str] = frozenset()
        self._listeners: list[Listener] = []

    @property
    def own(self) -> Member:
        """The VM of this program."""
        return self._own

    @property
    def members(self) -> list[Member]:
        """Members that the live list names and that are not leaving; all while it is unknown.

        The own VM is always among the live ones: this program runs on it.
        """
        return [m for m in self._rows.values() if self._is_live(m.vm)]

    @property
    def leaving(self) -> frozenset[str]:
        """Names of VMs and targets that the platform wants to leave."""
        return self._leaving

    @property
    def peers(self) -> list[str]:
        """Inbox URLs of all programs of live members, also those of the own VM."""
        return [url for member in self.members for url in member.inboxes]

    @property
    def revision(self) -> int:
        """Number of changes of the view since the start of the program."""
        return self._revision

    @property
    def rows(self) -> tuple[Member, ...]:
        """All members, live or not."""
        return tuple(self._rows.values())

    @property
    def live(self) -> frozenset[str] | None:
        """Names of the live list, None while it is unknown."""
        return self._live

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` after each change of the view."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Announces the own row and follows the platform; for one program of each VM."""
        gevent.spawn(self._announce)
        gevent.spawn(self._follow)

    def refresh(self) -> bool:
        """Reads changes from the platform once; returns whether the view changed."""
        before = (dict(self._rows), self._live, self._leaving)
        self._read_rows()
        self._read_live_list()
        return self._note_change(before != (self._rows, self._live, self._leaving))

    def replace(
        self, rows: Iterable[Member], live: frozenset[str] | None, leaving: frozenset[str]
    ) -> bool:
        """Takes over the view of the VM's controller; returns whether it differs."""
        members = {row.vm: row for row in rows} | {self._own.vm: self._own}
        changed = (members, live, leaving) != (self._rows, self._live, self._leaving)
        self._rows, self._live, self._leaving = members, live, leaving
        # A later read of the tables must report every row again: deletions are not known here.
        self._version = 0
        return self._note_change(changed)

    def announce(self) -> bool:
        """Writes the own row unless it stands there already; returns whether it stands now."""
        found = self._platform.tables.read(MEMBERS, self._own.vm)
        if not isinstance(found, Success):
            return False
        row = found.unwrap()
        value = to_row(self._own)
        if row is not None and row.value == value:
            return True
        condition = Condition(MEMBERS, self._own.vm, row.version if row else 0)
        written = self._platform.tables.commit([condition], [Write(MEMBERS, self._own.vm, value)])
        if isinstance(written, Success):
            logger().info("member-announced", vm=self._own.vm)
            return True
        if written.failure().kind is PlatformFailure.UNKNOWN:
            logger().info("member-announcement-unknown", vm=self._own.vm)
        return False

    def _note_change(self, changed: bool) -> bool:
        if changed:
            self._revision += 1
            for listener in self._listeners:
                listener()
        return changed

    def _is_live(self, vm: str) -> bool:
        if vm in self._leaving:
            return False
        return vm == self._own.vm or self._live is None or vm in self._live

    def _announce(self) -> None:
        while not self.announce():
            gevent.sleep(ANNOUNCE_RETRY_S)

    def _follow(self) -> None:
        while True:
            self.refresh()
            gevent.sleep(REFRESH_S)

    def _read_rows(self) -> None:
        found = self._platform.tables.scan(MEMBERS, self._version)
        for row in found.value_or([]):
            self._version = max(self._version, row.version)
            if row.deleted:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = from_row(row.value)
        self._rows[self._own.vm] = self._own

    def _read_live_list(self) -> None:
        found = self._platform.live_list.read()
        if isinstance(found, Success):
            view = found.unwrap()
            self._live, self._leaving = view.live, view.leaving
