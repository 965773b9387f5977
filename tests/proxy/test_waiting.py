"""Order of waiting statements, under a lost primary and under overload."""

from gevent.event import AsyncResult

from siskindale.models.group import LogPosition
from siskindale.proxy.decisions import waiting
from siskindale.proxy.decisions.waiting import Overtaking
from siskindale.proxy.tables import Need, Waiter


def need(priority: int = 1, deadline: float = 1.0, primary_only: bool = False) -> Need:
    minimum = None if primary_only else LogPosition(1, 1)
    return Need(minimum, priority, deadline, primary_only)


def waiter(of: Need) -> Waiter:
    return Waiter(of, set(), 0.0, AsyncResult())


def test_reads_of_replicas_do_not_queue_behind_writes() -> None:
    """Guards against reads that stand still while the primary is lost.

    Seen in the code: a read queued behind statements that waited for the primary alone, until some
    connection was released.
    """
    lost_primary = [waiter(need(primary_only=True)) for _ in range(20)]
    assert waiting.overtaking(lost_primary, need()) == Overtaking(True, not_primary=True)
    assert not waiting.overtaking(lost_primary, need(primary_only=True)).allowed


def test_a_statement_does_not_overtake_its_equals() -> None:
    """Guards against a waiting read that is passed by new ones for as long as load lasts."""
    assert not waiting.overtaking([waiter(need())], need()).allowed


def test_a_higher_priority_overtakes() -> None:
    """Guards against filings that wait for browsing."""
    assert waiting.overtaking([waiter(need(priority=2))], need(priority=1)).allowed


def test_waiting_statements_go_by_priority_then_deadline() -> None:
    """Guards against a burst in which early deadlines pass behind late ones."""
    needs = [need(2, 1.0), need(1, 3.0), need(1, 2.0)]
    served = waiting.service_order([waiter(n) for n in needs])
    assert [w.need for w in served] == [needs[2], needs[1], needs[0]]
