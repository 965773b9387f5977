"""Tests of which VMs own the connections of a group."""

from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskindale.models.members import MemberFact
from siskindale.proxy.decisions import ownership
from tests.proxy.test_membership import build_fact


def build_fleet(size: int, domains: int = 3) -> list[MemberFact]:
    return [
        build_fact(
            number, failure_domain=f"d{number % domains}", capacity=2.15 if number < 6 else 0.516
        )
        for number in range(size)
    ]


def names(members: list[MemberFact]) -> list[str]:
    return [member.vm for member in members]


@pytest.mark.parametrize("size", [1, 7, 11])
def test_in_a_small_fleet_each_vm_owns_all_connections(size: int) -> None:
    """Guards against a hop where every VM can have its own connections."""
    fleet = build_fleet(size)
    assert sorted(names(ownership.owners("g", fleet, 16))) == sorted(names(fleet))


@pytest.mark.parametrize(
    ("size", "max_connections", "domains"), [(64, 22, 3), (66, 98, 4), (88, 40, 3), (195, 58, 5)]
)
def test_owners_fit_the_connections_of_a_target(
    size: int, max_connections: int, domains: int
) -> None:
    """Guards against more owners than connections, and against owners in one failure domain."""
    owners = ownership.owners("g", build_fleet(size, domains), max_connections)
    assert len(owners) * ownership.CONNECTIONS_PER_OWNER <= max_connections
    assert len({owner.failure_domain for owner in owners}) == min(len(owners), domains)


def test_weak_vms_own_nothing_beside_strong_ones() -> None:
    """Guards against a VM of half a core that serves the statements of dozens of others."""
    fleet = build_fleet(64)
    owners = [o for number in range(20) for o in ownership.owners(f"g{number}", fleet, 22)]
    assert {owner.capacity for owner in owners} == {2.15}
    assert max(Counter(names(owners)).values()) <= 20


def test_the_loss_of_a_vm_moves_only_its_own_groups() -> None:
    """Guards against a loss after which all groups get other owners."""
    fleet = build_fleet(64)
    lost = ownership.owners("g", fleet, 22)[0]
    rest = [member for member in fleet if member != lost]
    before = {f"g{n}": names(ownership.owners(f"g{n}", fleet, 22)) for n in range(30)}
    after = {f"g{n}": names(ownership.owners(f"g{n}", rest, 22)) for n in range(30)}
    for group, owners in before.items():
        assert len(set(owners) - set(after[group])) == (lost.vm in owners)


@given(st.permutations(range(40)))
def test_all_vms_name_the_same_owners(order: list[int]) -> None:
    """Guards against owners that depend on the order in which members were learned."""
    fleet = build_fleet(40)
    shuffled = [fleet[index] for index in order]
    assert names(ownership.owners("g", shuffled, 22)) == names(ownership.owners("g", fleet, 22))


def test_a_vm_asks_the_owner_in_its_failure_domain_first() -> None:
    """Guards against statements that cross failure domains without need."""
    owners = ownership.owners("g", build_fleet(64), 22)
    for domain in ("d0", "d1", "d2"):
        assert ownership.order_for(domain, owners)[0].failure_domain == domain


def test_a_fleet_of_one_failure_domain_has_several_owners() -> None:
    """Guards against a single owner whose loss stops a group."""
    fleet = [attrs.evolve(member, failure_domain="d") for member in build_fleet(64)]
    assert len(ownership.owners("g", fleet, 22)) == ownership.MIN_OWNERS
