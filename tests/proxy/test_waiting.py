"""Tests of the order of waiting statements, with a lost primary and under overload."""

from gevent.event import AsyncResult

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import waiting
from siskindale.proxy.decisions.waiting import QueueBypass
from siskindale.proxy.tables import Need, Waiter


def build_need(priority: int = 1, deadline: float = 1.0, primary_only: bool = False) -> Need:
    minimum = None if primary_only else LogPosition(1, 1)
    return Need(minimum, priority, deadline, primary_only)


def build_waiter(of: Need) -> Waiter:
    return Waiter(of, set(), 0.0, AsyncResult())


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
    served = waiting.service_order([build_waiter(n) for n in needs])
    assert [w.need for w in served] == [needs[2], needs[1], needs[0]]
