"""Ranking of VMs by group."""

from hypothesis import given
from hypothesis import strategies as st

from siskindale.membership.assignment import GroupRanking
from siskindale.membership.directory import Member, member_from_row, member_to_row
from siskindale.membership.rendezvous import rank_members
from siskindale.models.address import Address
from tests.fakes.settings import bundle

DOMAINS = ("smolyan", "chepelare", "devin")


def member(index: int) -> Member:
    """Returns the VM with that index; VMs are spread over three failure domains."""
    address = Address("127.0.0.1", 1000 + index)
    return Member(f"vm{index}", DOMAINS[index % 3], "bg", address, address, address)


def test_row_round_trip() -> None:
    """Guards against a member row that another program cannot read back."""
    assert member_from_row(member_to_row(member(1))) == member(1)


@given(st.sets(st.integers(0, 50), min_size=2), st.text(min_size=1))
def test_loss_of_a_vm_moves_only_its_groups(indexes: set[int], group: str) -> None:
    """Guards against a lost VM moving groups that it did not serve."""
    members = [member(i) for i in sorted(indexes)]
    before = rank_members(group, members)
    lost = before[-1]
    assert rank_members(group, [m for m in members if m is not lost])[0] == before[0]


@given(st.sets(st.integers(0, 50), min_size=1), st.text(min_size=1))
def test_first_ranks_lie_in_different_failure_domains(indexes: set[int], group: str) -> None:
    """Guards against losing both pools of a group with one failure domain."""
    members = [member(i) for i in sorted(indexes)]
    domains = {m.failure_domain for m in members}
    first = rank_members(group, members)[: len(domains)]
    assert {m.failure_domain for m in first} == domains


class _View:
    """Directory whose members are set by a test."""

    members: list[Member]


@given(st.lists(st.sets(st.integers(0, 30), min_size=1), min_size=1, max_size=6))
def test_incremental_ranks_equal_a_full_ranking(views: list[set[int]]) -> None:
    """Guards against programs whose ranks depend on the history of member changes."""
    directory = _View()
    kept = GroupRanking(directory)  # type: ignore[arg-type]
    for indexes in views:
        directory.members = [member(index) for index in sorted(indexes)]
        fresh = GroupRanking(directory)  # type: ignore[arg-type]
        assert kept.rank_vms(bundle()) == fresh.rank_vms(bundle())
