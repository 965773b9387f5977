"""Owners of each group's connections, cached until a member, a group or a limit changes."""

from collections.abc import Mapping

from siskindale.models.members import MemberFact
from siskindale.proxy.decisions import ownership
from siskindale.proxy.decisions.membership import MemberTable
from siskindale.proxy.tables import Group


class Ownership:
    """Tells which VMs own the connections of a group."""

    def __init__(self, table: MemberTable, groups: Mapping[str, Group]) -> None:
        self._table = table
        self._groups = groups
        self._version = -1
        self._max_connections: dict[str, int] = {}
        self._owners: dict[str, list[MemberFact]] = {}
        self._homes: dict[tuple[str, str], list[MemberFact]] = {}

    @property
    def own_vm(self) -> str:
        """Name of this VM."""
        return self._table.own.vm

    def owners(self, group: Group) -> list[MemberFact]:
        """Returns the owners of a group, best first."""
        outdated = self._version != self._table.version
        if outdated or self._max_connections.get(group.name) != group.limits.max_connections:
            self._assign()
        return self._owners[group.name]

    def _assign(self) -> None:
        self._version = self._table.version
        self._max_connections = {
            group.name: group.limits.max_connections for group in self._groups.values()
        }
        # A VM that drains or knows nobody else still serves its own clients.
        members = self._table.serving() or [self._table.own]
        self._owners = ownership.assign(self._max_connections, members)
        self._homes.clear()

    def owns(self, group: Group) -> bool:
        """Returns whether this VM owns the connections of a group."""
        return self.owns_everything(group) or any(
            member.vm == self.own_vm for member in self.owners(group)
        )

    def owns_everything(self, group: Group) -> bool:
        """Returns whether each VM owns the connections of a group."""
        return ownership.owns_everything(len(self._table.serving()), group.limits.max_connections)

    def candidates(self, group: Group, workspace: str = "") -> list[MemberFact]:
        """Returns the VMs to which this one forwards statements, best first.

        The statements of a workspace go to its home, so that its connections are used again.
        """
        if workspace:
            return self._home_order(group, workspace)
        return ownership.order_for(self._table.own.failure_domain, self.owners(group))

    def serves(self, group: Group, workspace: str) -> bool:
        """Returns whether this VM runs the statements of a workspace in a group itself."""
        if not workspace:
            return self.owns(group)
        return self._home_order(group, workspace)[0].vm == self.own_vm

    def _home_order(self, group: Group, workspace: str) -> list[MemberFact]:
        owners = self.owners(group)
        key = (group.name, workspace)
        found = self._homes.get(key)
        if found is None:
            found = self._homes[key] = ownership.home_order(group.name, workspace, owners)
        return found
