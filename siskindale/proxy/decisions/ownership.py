"""Which VMs own the connections to the targets of a group.

A target admits fewer connections than a large fleet has VMs, and a few connections keep it busy.
So a few VMs own the connections of a group, and the other VMs forward statements to them. The
owners follow from the members alone, so no lease is needed: VMs that know different members
disagree only for a moment, and an owner serves whatever is forwarded to it.
"""

import itertools
from collections.abc import Iterable, Sequence

from siskindale.membership.rendezvous import rendezvous_score
from siskindale.models.members import MemberFact

# In a fleet of this size each VM keeps its own connections, which saves the hop.
FULL_OWNERSHIP_VMS = 12
# Connections that an owner needs for statements and for idle transactions.
CONNECTIONS_PER_OWNER = 4
# Not owned by anybody, for connections of lost VMs that a target still counts.
UNOWNED_CONNECTIONS = 2
MIN_OWNERS = 3
# Owners carry the statements of many VMs, so much weaker VMs of a failure domain are passed over.
MIN_CAPACITY_SHARE = 0.5


def owns_everything(members: int, max_connections: int) -> bool:
    """Returns whether each VM of a fleet of this size has connections to each target."""
    return members <= min(FULL_OWNERSHIP_VMS, max_connections - UNOWNED_CONNECTIONS)


def owner_count(domains: int, max_connections: int) -> int:
    """Returns the number of owners of a group, one in each failure domain where they fit."""
    limit = max(1, (max_connections - UNOWNED_CONNECTIONS) // CONNECTIONS_PER_OWNER)
    return min(limit, max(MIN_OWNERS, domains))


def owners(group: str, members: Sequence[MemberFact], max_connections: int) -> list[MemberFact]:
    """Returns the owners of a group, best first; all members in a small fleet."""
    ranked = _rank(group, members)
    if owns_everything(len(members), max_connections):
        return ranked
    domains = len({member.failure_domain for member in members})
    return ranked[: owner_count(domains, max_connections)]


def order_for(own_domain: str, candidates: Iterable[MemberFact]) -> list[MemberFact]:
    """Returns owners in the order in which a VM asks them: those of its failure domain first."""
    return sorted(candidates, key=lambda member: member.failure_domain != own_domain)


def _rank(group: str, members: Sequence[MemberFact]) -> list[MemberFact]:
    """Returns members in rank order, the best of each failure domain before any second best."""
    by_domain: dict[str, list[MemberFact]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    ordered = sorted(
        (_rank_in_domain(group, domain) for domain in by_domain.values()),
        key=lambda domain: -rendezvous_score(group, domain[0].vm),
    )
    layers = itertools.zip_longest(*ordered)
    return [member for layer in layers for member in layer if member is not None]


def _rank_in_domain(group: str, members: Sequence[MemberFact]) -> list[MemberFact]:
    required = MIN_CAPACITY_SHARE * max(member.capacity for member in members)
    return sorted(
        members,
        key=lambda member: (member.capacity < required, -rendezvous_score(group, member.vm)),
    )
