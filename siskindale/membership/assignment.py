"""Assignment of groups to VMs in order of rank, for pools and controllers."""

from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from siskindale.membership.directory import Directory
from siskindale.membership.rendezvous import rank
from siskindale.models.bundle import Bundle
from siskindale.models.member import Member
from siskindale.runtime.logs import logger

# Controllers of a group: the first VMs in rank order.
CONTROLLERS = 3
# VMs beyond this rank would serve a group only after so many others were found dead.
KEPT_RANKS = 8
# Ranking all 770 VMs for 920 groups takes a second of CPU time; other work goes on in between.
GROUPS_AT_ONCE = 4


class Assignment:
    """Ranks VMs by group and keeps the first ranks of each group.

    A change of members is applied to the kept ranks: a VM that joins competes with the kept ones
    only, and a VM that leaves matters to the groups that kept it. Ranking everything anew for each
    of 870 changes a day would cost 1 % of a core in each program.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._members: dict[str, Member] = {}
        self._ranks: dict[str, tuple[Member, ...]] = {}

    def rank(self, bundle: Bundle) -> dict[str, tuple[str, ...]]:
        """Returns names of VMs in rank order for each group of a bundle."""
        members = {member.vm: member for member in self._directory.members}
        names = {group.name for group in bundle.groups}
        known = {name: ranks for name, ranks in self._ranks.items() if name in names}
        self._ranks = _updated(known, self._members, members)
        self._members = members
        missing = names - self._ranks.keys()
        for index, name in enumerate(sorted(missing), 1):
            self._ranks[name] = _first(name, members.values())
            if index % GROUPS_AT_ONCE == 0:
                gevent.sleep(0)
        return {name: tuple(m.vm for m in ranks) for name, ranks in self._ranks.items()}


def _updated(
    ranks: dict[str, tuple[Member, ...]], before: dict[str, Member], after: dict[str, Member]
) -> dict[str, tuple[Member, ...]]:
    """Returns the ranks after a change; groups that have to be ranked anew are left out."""
    added = [m for vm, m in after.items() if before.get(vm) != m]
    removed = {vm for vm, m in before.items() if after.get(vm) != m}
    if not added and not removed:
        return ranks
    return {
        name: _first(name, (*kept, *added)) if added else kept
        for name, kept in ranks.items()
        if not any(member.vm in removed for member in kept)
    }


def _first(group: str, members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(rank(group, members)[:KEPT_RANKS])


class Reassignment:
    """Runs an assignment after changes of the bundle or the directory.

    Changes that come while one runs are taken together in the next one.
    """

    def __init__(self, assign: Callable[[], None]) -> None:
        self._assign = assign
        self._wanted = Event()

    def request(self) -> None:
        """Asks for an assignment; does not block."""
        self._wanted.set()

    def start(self) -> None:
        """Starts running assignments as they are requested."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            self._wanted.clear()
            try:
                self._assign()
            except Exception:
                logger().exception("assignment-failed")
