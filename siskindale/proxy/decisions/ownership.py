"""Which VMs own the connections to the targets of a group.

A target admits fewer connections than a large fleet has VMs, and a few connections keep it busy.
So a few VMs own the connections of a group, and the other VMs forward statements to them. The
owners follow from the members and the groups alone, so no lease is needed: VMs that know different
members disagree only for a moment, and an owner serves whatever is forwarded to it.

Load pattern: an owner handles the statements of dozens of VMs, so that one VM with the roles of
several groups saturates while others of its kind have none. All groups are assigned together, and
each role goes to the VM that has the fewest for its processors.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.members import MemberFact

# In a fleet of this size each VM keeps its own connections, which saves the hop.
FULL_OWNERSHIP_VMS = 12
# Connections that an owner needs for statements and for idle transactions.
CONNECTIONS_PER_OWNER = 4
# Not owned by anybody, for connections of lost VMs that a target still counts.
UNOWNED_CONNECTIONS = 2
MIN_OWNERS = 3


def owns_everything(members: int, max_connections: int) -> bool:
    """Returns whether each VM of a fleet of this size has connections to each target."""
    return members <= min(FULL_OWNERSHIP_VMS, max_connections - UNOWNED_CONNECTIONS)


def owner_count(domains: int, max_connections: int) -> int:
    """Returns the number of owners of a group, one in each failure domain where they fit."""
    limit = max(1, (max_connections - UNOWNED_CONNECTIONS) // CONNECTIONS_PER_OWNER)
    return min(limit, max(MIN_OWNERS, domains))


def assign(
    max_connections: Mapping[str, int], members: Sequence[MemberFact]
) -> dict[str, list[MemberFact]]:
    """Returns the owners of each group, best first; all members in a small fleet.

    The keys of `max_connections` are the groups, its values what each of their targets admits.
    """
    roles: Counter[str] = Counter()
    by_domain = _group_by_domain(members)
    owners: dict[str, list[MemberFact]] = {}
    for group, limit in sorted(max_connections.items()):
        if owns_everything(len(members), limit):
            owners[group] = sorted(members, key=lambda member: _score(group, member))
            continue
        owners[group] = _assign_group(group, owner_count(len(by_domain), limit), by_domain, roles)
        roles.update(owner.vm for owner in owners[group])
    return owners


def order_for(own_domain: str, candidates: Iterable[MemberFact]) -> list[MemberFact]:
    """Returns owners in the order in which a VM asks them: those of its failure domain first."""
    return sorted(candidates, key=lambda member: member.failure_domain != own_domain)


def home_order(group: str, workspace: str, owners: Iterable[MemberFact]) -> list[MemberFact]:
    """Returns owners in the order in which they serve a workspace; the first is its home.

    A connection serves one workspace, so spreading a workspace over all owners would need that many
    times its connections.
    """
    key = f"{group}\x00{workspace}"
    return sorted(owners, key=lambda member: (_score(key, member), member.vm))


def _group_by_domain(members: Iterable[MemberFact]) -> dict[str, list[MemberFact]]:
    by_domain: dict[str, list[MemberFact]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    return by_domain


def _assign_group(
    group: str, count: int, by_domain: Mapping[str, list[MemberFact]], roles: Mapping[str, int]
) -> list[MemberFact]:
    """Returns the owners of a group: one of each failure domain before a second of any."""
    owners: list[MemberFact] = []
    while len(owners) < count:
        free = [[m for m in domain if m not in owners] for domain in by_domain.values()]
        layer = [_least_loaded(group, members, roles) for members in free if members]
        if not layer:
            break
        owners += sorted(layer, key=lambda member: _score(group, member))
    return owners[:count]


def _least_loaded(
    group: str, members: Iterable[MemberFact], roles: Mapping[str, int]
) -> MemberFact:
    return min(
        members,
        key=lambda member: ((roles[member.vm] + 1) / member.capacity, _score(group, member)),
    )


def _score(group: str, member: MemberFact) -> int:
    """Returns the place of a member in the rendezvous order of a group, lowest first."""
    return -rendezvous_score(group, member.vm)
