"""Assignment of groups to VMs in order of rank, for pools and controllers."""

import gevent

from siskindale.membership.directory import Directory
from siskindale.membership.rendezvous import rank
from siskindale.models.bundle import Bundle

# Controllers of a group: the first VMs in rank order.
CONTROLLERS = 3
# VMs beyond this rank would serve a group only after so many others were found dead.
KEPT_RANKS = 8
# Ranking 920 groups of 770 VMs takes a second of CPU time; other work goes on in between.
GROUPS_AT_ONCE = 4


class Assignment:
    """Ranks VMs by group and keeps the ranks while the members stay the same."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._members: frozenset[tuple[str, str]] = frozenset()
        self._ranks: dict[str, tuple[str, ...]] = {}

    def rank(self, bundle: Bundle) -> dict[str, tuple[str, ...]]:
        """Returns names of VMs in rank order for each group of a bundle."""
        members = self._directory.members
        key = frozenset((member.vm, member.failure_domain) for member in members)
        if key != self._members:
            self._members, self._ranks = key, {}
        missing = [group.name for group in bundle.groups if group.name not in self._ranks]
        for index, name in enumerate(missing, 1):
            self._ranks[name] = tuple(member.vm for member in rank(name, members)[:KEPT_RANKS])
            if index % GROUPS_AT_ONCE == 0:
                gevent.sleep(0)
        return {group.name: self._ranks[group.name] for group in bundle.groups}
