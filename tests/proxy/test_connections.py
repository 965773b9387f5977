"""Tests of how many connections a VM holds to a target."""

import attrs

from siskindale.models.catalog import RegistrationState
from siskindale.proxy.decisions import connections
from siskindale.proxy.tables import Group, Target

VMS = 7


@attrs.define
class IdleConnection:
    """An idle connection, with the attributes that the decisions read."""

    used_at: float
    workspace: str = ""


def set_idle_connections(target: Target, *used_at: float) -> None:
    target.idle_connections = [IdleConnection(at) for at in used_at]  # type: ignore[misc]
    target.open_count = len(used_at)


def test_a_restart_of_all_vms_finds_connections_free(group: Group) -> None:
    """Guards against 3 s of refused connections after all VMs lost power.

    The target counts the lost connections for 3 s, so the connections that idle VMs hold and those
    that the restarted VMs open must together stay within the limit.
    """
    held = VMS * connections.min_open_connections(group.targets["a"], group)
    assert held + VMS * connections.MIN_OPEN_CONNECTIONS <= group.limits.max_connections


def test_surplus_idle_connections_are_closed(group: Group) -> None:
    """Guards against a VM that keeps connections others need after a burst of transactions."""
    target = group.targets["a"]
    set_idle_connections(target, 1.0, 1.0, 1.0, 9.9)
    assert connections.surplus_idle_count(target, group, now=10.0) == 3


def test_the_last_connection_is_kept(group: Group) -> None:
    """Guards against opening a connection for each statement, as each opening takes a slot."""
    target = group.targets["a"]
    set_idle_connections(target, 1.0)
    assert connections.surplus_idle_count(target, group, now=10.0) == 0


def test_a_draining_replica_keeps_no_connection(group: Group) -> None:
    """Guards against new work on a draining target."""
    target = group.targets["b"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    set_idle_connections(target, 9.9)
    assert connections.surplus_idle_count(target, group, now=10.0) == 1
    assert connections.min_open_connections(target, group) == 0


def test_a_vm_may_exceed_its_even_share_but_not_take_all(group: Group) -> None:
    """Guards against one VM taking all connections of a target."""
    target = group.targets["a"]
    target.open_count = connections.even_share(16, VMS)
    assert connections.may_open(target, group, VMS, now=0.0)
    target.open_count = connections.even_share(16, VMS) * connections.MAX_SHARE_FACTOR
    assert not connections.may_open(target, group, VMS, now=0.0)


def test_a_full_target_is_not_tried_again_at_once(group: Group) -> None:
    """Guards against repeated connection attempts to a target that has no connection left."""
    target = group.targets["a"]
    target.next_open_at = 5.0
    assert not connections.may_open(target, group, VMS, now=4.9)


def test_vms_close_connections_for_one_without_any(group: Group) -> None:
    """Guards against the first VMs to start after an outage taking all remaining connections.

    Seen in the scale-2 run of rsb-pool: the last VM to start waited for over a second, with 33
    waiting statements.
    """
    target = group.targets["a"]
    set_idle_connections(target, 9.99, 9.99, 9.99)
    target.yield_until = 10.5
    assert connections.surplus_idle_count(target, group, now=10.0) == 2
    assert not connections.may_open(target, group, VMS, now=10.0)
    assert connections.must_yield(target, now=10.0)


def test_a_vm_is_starved_only_without_any_connection(group: Group) -> None:
    """Guards against VMs taking connections from each other although each has one."""
    target = group.targets["a"]
    target.full_at = 9.9
    assert connections.is_starved(target, now=10.0)
    assert not connections.is_starved(target, now=9.9 + connections.STARVED_PERIOD_S)
    target.open_count = 1
    assert not connections.is_starved(target, now=10.0)


def test_opening_connections_after_a_restart_does_not_use_up_all_slots(group: Group) -> None:
    """Guards against 7 VMs opening six connections each at once to a target with two slots.

    Simulates the first 100 ms after all VMs restarted: statements of a VM wait for a target, and
    each pass over the queue may open another connection, which occupies a slot for 27 ms.
    """
    target = group.targets["a"]
    opening_s, slots = 0.027, 2
    started: list[float] = []
    for tick in range(100):
        now = tick / 1000
        target.opening_count = sum(at + opening_s > now for at in started)
        target.open_count = len(started) - target.opening_count
        if connections.may_open(target, group, VMS, now):
            started.append(now)
    assert VMS * len(started) * opening_s / slots <= 0.4
    assert target.open_count >= 2
