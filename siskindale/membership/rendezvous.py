"""Rendezvous hashing: each group ranks all VMs; a change of VMs moves only affected groups."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from siskindale.models.member import Member


def rendezvous_score(group: str, vm: str) -> int:
    """Returns the 64-bit score of a VM for a group, which is the same in every process."""
    return xxhash.xxh3_64_intdigest(f"{group}\x00{vm}".encode())


def rank_members(group: str, members: Iterable[Member]) -> list[Member]:
    """Returns the members in rank order for a group, alternating between failure domains.

    The best member of each failure domain precedes the second best of any, so that the first k
    members are in different failure domains if there are at least k domains.
    """
    ordered = sorted(members, key=lambda m: (-rendezvous_score(group, m.vm), m.vm))
    ranked_by_domain: dict[str, int] = {}
    layers: list[tuple[int, int, Member]] = []
    for index, member in enumerate(ordered):
        layer = ranked_by_domain.get(member.failure_domain, 0)
        ranked_by_domain[member.failure_domain] = layer + 1
        layers.append((layer, index, member))
    return [member for _, _, member in sorted(layers, key=lambda entry: entry[:2])]
