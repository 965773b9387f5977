"""Number of connections that a VM holds to a target."""

import attrs

from siskindale.models.catalog import RegistrationState
from siskindale.proxy.decisions import connections
from siskindale.proxy.tables import Group, Target

VMS = 7


@attrs.define
class IdleConnection:
    """An idle connection as far as the decisions see it."""

    used_at: float


def idle(target: Target, *used_at: float) -> None:
    target.idle = [IdleConnection(at) for at in used_at]  # type: ignore[misc]
    target.open_count = len(used_at)


def test_a_restart_of_all_vms_finds_connections_free(group: Group) -> None:
    """Guards against 3 s of refusals after all VMs lost power.

    The target counts the lost connections for 3 s, so what idle VMs hold and what the restarted
    ones open must fit together.
    """
    held = VMS * connections.warm_count(group.targets["a"], group)
    assert held + VMS * connections.KEPT_IDLE <= group.limits.max_connections


def test_idle_connections_are_given_back(group: Group) -> None:
    """Guards against a VM that keeps what other VMs need after a burst of transactions."""
    target = group.targets["a"]
    idle(target, 1.0, 1.0, 1.0, 9.9)
    assert connections.surplus(target, group, now=10.0) == 3


def test_the_last_connection_is_kept(group: Group) -> None:
    """Guards against opening a connection, which takes a slot, for each statement."""
    target = group.targets["a"]
    idle(target, 1.0)
    assert connections.surplus(target, group, now=10.0) == 0


def test_a_leaving_replica_keeps_no_connection(group: Group) -> None:
    """Guards against new work at a target that leaves."""
    target = group.targets["b"]
    target.entry = attrs.evolve(target.entry, state=RegistrationState.DRAINING)
    idle(target, 9.9)
    assert connections.surplus(target, group, now=10.0) == 1
    assert connections.warm_count(target, group) == 0


def test_a_vm_may_exceed_its_even_share_but_not_take_all(group: Group) -> None:
    """Guards against one VM that starves the others of a target's connections."""
    target = group.targets["a"]
    target.open_count = connections.even_share(16, VMS)
    assert connections.may_open(target, group, VMS, now=0.0)
    target.open_count = connections.even_share(16, VMS) * connections.MAX_SHARE_FACTOR
    assert not connections.may_open(target, group, VMS, now=0.0)


def test_a_full_target_is_not_asked_at_once_again(group: Group) -> None:
    """Guards against a storm of connection attempts at a target that has none left."""
    target = group.targets["a"]
    target.next_open_at = 5.0
    assert not connections.may_open(target, group, VMS, now=4.9)


def test_vms_give_way_to_one_without_connections(group: Group) -> None:
    """Guards against VMs that start first after an outage and take all connections that are left.

    Seen on scale-2 of rsb-pool: the last VM to start waited over a second with 33 statements.
    """
    target = group.targets["a"]
    idle(target, 9.99, 9.99, 9.99)
    target.yield_until = 10.5
    assert connections.surplus(target, group, now=10.0) == 2
    assert not connections.may_open(target, group, VMS, now=10.0)
    assert connections.must_yield(target, now=10.0)


def test_a_vm_is_starved_only_without_any_connection(group: Group) -> None:
    """Guards against VMs that take connections from each other although each has one."""
    target = group.targets["a"]
    target.full_at = 9.9
    assert connections.is_starved(target, now=10.0)
    assert not connections.is_starved(target, now=9.9 + connections.STARVED_S)
    target.open_count = 1
    assert not connections.is_starved(target, now=10.0)


def test_the_herd_after_a_restart_does_not_spend_all_slots_on_openings(group: Group) -> None:
    """Guards against 7 VMs that open six connections each to a target with two slots at once.

    Replays the first 100 ms after a loss of all VMs: statements of one VM wait for a target, and
    each pass over them may start another opening. One takes 27 ms of a slot.
    """
    target = group.targets["a"]
    opening_s, slots = 0.027, 2
    started: list[float] = []
    for tick in range(100):
        now = tick / 1000
        target.opening = sum(at + opening_s > now for at in started)
        target.open_count = len(started) - target.opening
        if connections.may_open(target, group, VMS, now):
            started.append(now)
    assert VMS * len(started) * opening_s / slots <= 0.4
    assert target.open_count >= 2
