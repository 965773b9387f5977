"""Tests of the order of waiting statements, with a lost primary and under overload."""

from gevent.event import AsyncResult

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import waiting
from siskindale.proxy.decisions.waiting import QueueBypass
from siskindale.proxy.tables import Group, Need, Waiter


def build_need(priority: int = 1, deadline: float = 1.0, primary_only: bool = False) -> Need:
    minimum = None if primary_only else LogPosition(1, 1)
    return Need(minimum, priority, deadline, primary_only, objective_at=deadline - 0.5)


def build_waiter(of: Need) -> Waiter:
    return Waiter(of, set(), AsyncResult())


def test_reads_at_replicas_do_not_wait_behind_writes() -> None:
    """Guards against reads that are blocked while the primary is lost.

    Found by reading the code: a read waited behind statements that only the primary can run, until
    some connection was released.
    """
    lost_primary = [build_waiter(build_need(primary_only=True)) for _ in range(20)]
    assert waiting.queue_bypass(lost_primary, build_need()) == QueueBypass(
        True, except_primary=True
    )
    assert not waiting.queue_bypass(lost_primary, build_need(primary_only=True)).allowed


def test_a_statement_does_not_overtake_others_of_its_priority() -> None:
    """Guards against new reads overtaking a waiting read for as long as the load lasts."""
    assert not waiting.queue_bypass([build_waiter(build_need())], build_need()).allowed


def test_a_higher_priority_overtakes() -> None:
    """Guards against filings waiting for browsing, which has a lower priority."""
    assert waiting.queue_bypass(
        [build_waiter(build_need(priority=2))], build_need(priority=1)
    ).allowed


def test_waiting_statements_are_ordered_by_priority_then_deadline() -> None:
    """Guards against early deadlines that expire behind later ones in a burst."""
    needs = [build_need(2, 1.0), build_need(1, 3.0), build_need(1, 2.0)]
    served = waiting.service_order([build_waiter(n) for n in needs], now=0.0)
    assert [w.need for w in served] == [needs[2], needs[1], needs[0]]


def test_statements_that_can_meet_their_objective_go_before_late_ones() -> None:
    """Guards against an overload in which every statement waits until it is late.

    Seen at 64 VMs while all replicas lagged: the primary was asked for a tenth more than it can
    run, and with the earliest deadline first the median statement took longer than its objective.
    """
    late, on_time = build_need(deadline=1.0), build_need(deadline=1.4)
    served = waiting.service_order([build_waiter(late), build_waiter(on_time)], now=0.6)
    assert [w.need for w in served] == [on_time, late]


def simulate_overload(load: float, duration_s: float = 4.0) -> tuple[int, int, int]:
    """Plays more statements than a target with two slots can run.

    Returns how many were on time, late and not served. Each takes 10 ms, its objective is 200 ms
    and its deadline 800 ms.
    """
    work_s, slots, tick_s = 0.01, 2, 0.001
    interval_s = work_s / slots / load
    waiters: list[Waiter] = []
    running: list[tuple[float, Need]] = []
    counts = {"on time": 0, "late": 0, "not served": 0}
    arrivals = 0
    for tick in range(int(duration_s / tick_s)):
        now = tick * tick_s
        while arrivals * interval_s <= now:
            arrivals += 1
            waiters.append(build_waiter(Need(None, 1, now + 0.8, True, now + 0.2)))
        for _, need in [entry for entry in running if entry[0] <= now]:
            counts["on time" if now <= need.objective_at else "late"] += 1
        running = [entry for entry in running if entry[0] > now]
        expired = [waiter for waiter in waiters if waiter.need.deadline <= now]
        counts["not served"] += len(expired)
        waiters = [waiter for waiter in waiters if waiter.need.deadline > now]
        for waiter in waiting.service_order(waiters, now)[: slots - len(running)]:
            waiters.remove(waiter)
            running.append((now + work_s, waiter.need))
    return counts["on time"], counts["late"], counts["not served"]


def test_an_overloaded_target_serves_most_statements_on_time() -> None:
    """Guards against an order that makes nearly all statements late under a fifth too much load."""
    on_time, late, not_served = simulate_overload(load=1.2)
    assert on_time / (on_time + late + not_served) > 0.75


def test_a_target_gets_a_bounded_number_of_statements() -> None:
    """Guards against a queue at the target, which refuses statements when it is full.

    Seen at 64 VMs: three owners with ten connections each filled the queue of a primary with two
    slots, and transactions failed because it refused one of their statements.
    """
    assert 3 * waiting.running_limit(slots=2, vm_count=3) <= 6
    assert waiting.running_limit(slots=2, vm_count=1) >= 2
    assert waiting.running_limit(slots=3, vm_count=64) == waiting.MIN_RUNNING


def test_a_statement_that_cannot_be_reached_in_time_is_recognized(group: Group) -> None:
    """Guards against statements that are held until their deadline and then refused."""
    target = group.targets["a"]
    target.latency_s = 0.05
    need = build_need(deadline=0.8, primary_only=True)
    group.waiters = [build_waiter(build_need(deadline=0.7, primary_only=True)) for _ in range(40)]
    assert waiting.expected_wait(group, [target], need, vm_count=3, now=0.0) > 0.8
    del group.waiters[10:]
    assert waiting.expected_wait(group, [target], need, vm_count=3, now=0.0) < 0.4


def test_statements_wait_for_a_promotion(group: Group) -> None:
    """Guards against refusing statements at once while a lost primary is replaced."""
    group.waiters = [build_waiter(build_need(primary_only=True)) for _ in range(40)]
    assert waiting.expected_wait(group, [], build_need(primary_only=True), 3, now=0.0) == 0.0


def test_reads_at_replicas_do_not_count_those_that_wait_for_the_primary(group: Group) -> None:
    """Guards against refusing reads that replicas can serve because the primary is overloaded."""
    group.waiters = [build_waiter(build_need(primary_only=True)) for _ in range(400)]
    replicas = [group.targets["b"], group.targets["c"]]
    assert waiting.expected_wait(group, replicas, build_need(), 3, now=0.0) < 0.1
