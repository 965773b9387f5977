"""Tests of the membership over datagrams on loopback."""

from collections.abc import Callable, Iterator
from random import Random

import gevent
import pytest

from bench.processes import free_addresses, wait_until
from siskindale.context import SystemClock
from siskindale.models.address import Address
from siskindale.models.members import MemberState
from siskindale.proxy import directory, members
from siskindale.proxy.decisions import membership
from siskindale.proxy.members import Membership
from tests.proxy.settings import build_settings

TIMEOUT_S = 20.0

Start = Callable[..., Membership]


@pytest.fixture
def start() -> Iterator[Start]:
    """Function that starts the membership of a VM; all of them are stopped after the test."""
    started: list[Membership] = []

    def start_membership(vm: str, peers: Address, *seeds: Address) -> Membership:
        settings = build_settings(vm=vm, peers=peers, seeds=seeds)
        member = Membership(settings, SystemClock(), Random(vm), lambda: 1, lambda _: None)
        member.start()
        started.append(member)
        return member

    yield start_membership
    for member in started:
        member.stop()


def knows(member: Membership, vm: str, state: MemberState) -> bool:
    """Returns whether a VM believes another one to be in a state."""
    fact = member.table.fact(vm)
    return fact is not None and fact.state is state


def test_vms_learn_of_each_other_through_one_seed(start: Start) -> None:
    """Guards against VMs that know only their seeds."""
    addresses = free_addresses(4)
    fleet = [start(f"vm{i}", address, addresses[0]) for i, address in enumerate(addresses)]
    wait_until(
        lambda: all(len(member.table.members()) == 4 for member in fleet),
        TIMEOUT_S,
        "all VMs know each other",
    )
    assert len({member.table.digest for member in fleet}) == 1


def test_a_vm_that_stops_answering_counts_as_gone_and_returns(start: Start) -> None:
    """Guards against a lost VM that stays a member, and against one that can never come back.

    The VM returns without its seeds, so the others have to find it again.
    """
    addresses = free_addresses(3)
    fleet = [start(f"vm{i}", address, addresses[0]) for i, address in enumerate(addresses)]
    wait_until(
        lambda: all(len(member.table.members()) == 3 for member in fleet), TIMEOUT_S, "all known"
    )
    fleet[2].stop()
    rest = fleet[:2]
    wait_until(
        lambda: all(knows(member, "vm2", MemberState.GONE) for member in rest),
        TIMEOUT_S,
        "the lost VM is gone",
    )
    # Questions about the lost VM that are still in progress would reach it.
    gevent.sleep(members.PROBE_INTERVAL_S + members.INDIRECT_TIMEOUT_S)
    returned = start("vm2", addresses[2])
    wait_until(
        lambda: all(knows(member, "vm2", MemberState.ALIVE) for member in rest),
        TIMEOUT_S,
        "the VM is a member again",
    )
    wait_until(lambda: len(returned.table.members()) == 3, TIMEOUT_S, "it knows the others")


def test_a_vm_that_was_forgotten_is_found_again(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against halves of a fleet that never meet again after a long partition."""
    monkeypatch.setattr(membership, "GONE_RETENTION_S", 0.5)
    addresses = free_addresses(3)
    fleet = [start(f"vm{i}", address, addresses[0]) for i, address in enumerate(addresses)]
    wait_until(lambda: all(len(m.table.members()) == 3 for m in fleet), TIMEOUT_S, "all known")
    returned: list[int] = []
    fleet[0].on_returned(lambda: returned.append(1))
    fleet[2].stop()
    rest = fleet[:2]
    wait_until(
        lambda: all(member.table.fact("vm2") is None for member in rest), TIMEOUT_S, "forgotten"
    )
    back = start("vm2", addresses[2])
    wait_until(
        lambda: all(knows(member, "vm2", MemberState.ALIVE) for member in rest),
        TIMEOUT_S,
        "the VM is a member again",
    )
    wait_until(lambda: len(back.table.members()) == 3, TIMEOUT_S, "it knows the others")
    assert returned


def test_malformed_datagrams_are_ignored(start: Start) -> None:
    """Guards against a membership that ends at a datagram of another program."""
    addresses = free_addresses(2)
    first = start("vm0", addresses[0])
    with gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM) as sock:
        sock.sendto(b"nonsense", (addresses[0].host, addresses[0].port))
    second = start("vm1", addresses[1], addresses[0])
    wait_until(lambda: knows(first, "vm1", MemberState.ALIVE), TIMEOUT_S, "the VM is known")
    assert knows(second, "vm0", MemberState.ALIVE)


def test_vms_that_start_without_the_store_settle_soon(start: Start) -> None:
    """Guards against clients that wait for the directory while the store is down.

    Seen on alpenrand-kurse trouble-2: all VMs lost power while the store was silent, and their
    clients waited 0.2 to 0.5 s longer than for the catalog.
    """
    addresses = free_addresses(3)
    fleet = [start(f"vm{i}", address, addresses[0]) for i, address in enumerate(addresses)]
    wait_until(
        lambda: all(member.quiet_for(directory.QUIET_S) for member in fleet),
        directory.SETTLE_TIMEOUT_S,
        "all VMs are settled",
    )
    assert all(len(member.table.members()) == 3 for member in fleet)


def test_a_vm_alone_does_not_settle_by_silence(start: Start) -> None:
    """Guards against a VM that takes itself for the whole fleet before it has met anybody."""
    alone = start("vm0", free_addresses(1)[0])
    gevent.sleep(2 * directory.QUIET_S)
    assert not alone.quiet_for(directory.QUIET_S)
