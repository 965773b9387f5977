"""Assignment of groups to VMs by rank, for pools and controllers."""

from collections.abc import Callable, Iterable

import gevent
from gevent.event import Event

from siskindale.membership.directory import Directory
from siskindale.membership.rendezvous import rank_members
from siskindale.models.bundle import Bundle
from siskindale.models.member import Member
from siskindale.runtime.logs import logger
from siskindale.runtime.supervision import long_lived, supervise

# The first VMs in rank order control a group.
CONTROLLERS_PER_GROUP = 3
# A VM beyond this rank would serve a group only after this many others have failed.
RANKS_KEPT_PER_GROUP = 8
# Ranking all 770 VMs for 920 groups takes a second of CPU time; yields let other greenlets run.
GROUPS_RANKED_PER_YIELD = 4


class GroupRanking:
    """Ranks VMs by group and caches the first ranks of each group.

    Changes of members update the cache: a VM that joins is compared only with the cached ones, and
    a VM that leaves affects only the groups that cached it. Ranking all groups again at each of 870
    changes a day would cost 1 % of a core in each program.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._members: dict[str, Member] = {}
        self._ranks: dict[str, tuple[Member, ...]] = {}

    def rank_vms(self, bundle: Bundle) -> dict[str, tuple[str, ...]]:
        """Returns the names of the first VMs in rank order for each group of a bundle."""
        members = {member.vm: member for member in self._directory.members}
        names = {group.name for group in bundle.groups}
        known = {name: ranks for name, ranks in self._ranks.items() if name in names}
        self._ranks = _apply_member_changes(known, self._members, members)
        self._members = members
        missing = names - self._ranks.keys()
        for index, name in enumerate(sorted(missing), 1):
            self._ranks[name] = _first_ranks(name, members.values())
            if index % GROUPS_RANKED_PER_YIELD == 0:
                gevent.sleep(0)
        return {name: tuple(m.vm for m in ranks) for name, ranks in self._ranks.items()}


def _apply_member_changes(
    ranks: dict[str, tuple[Member, ...]], before: dict[str, Member], after: dict[str, Member]
) -> dict[str, tuple[Member, ...]]:
    """Returns the ranks after a change, without the groups that must be ranked again."""
    added = [m for vm, m in after.items() if before.get(vm) != m]
    removed = {vm for vm, m in before.items() if after.get(vm) != m}
    if not added and not removed:
        return ranks
    return {
        name: _first_ranks(name, (*kept, *added)) if added else kept
        for name, kept in ranks.items()
        if not any(member.vm in removed for member in kept)
    }


def _first_ranks(group: str, members: Iterable[Member]) -> tuple[Member, ...]:
    return tuple(rank_members(group, members)[:RANKS_KEPT_PER_GROUP])


class AssignmentRunner:
    """Runs the assignment after changes of the bundle or the directory.

    Requests that arrive during a run are combined into the next one.
    """

    def __init__(self, assign: Callable[[], None]) -> None:
        self._assign = assign
        self._requested = Event()

    def request(self) -> None:
        """Requests a run; does not block."""
        self._requested.set()

    def start(self) -> None:
        """Starts handling requests."""
        supervise(self._run)

    @long_lived("assignment", vital=True)
    def _run(self) -> None:
        while True:
            self._requested.wait()
            self._requested.clear()
            try:
                self._assign()
            except Exception:
                logger().exception("assignment-failed")
