"""Tests of transactions that are idle on connections which other statements wait for."""

from gevent.event import AsyncResult

from bench.proxy_deployment import Deployment, eventually
from siskindale.proxy.decisions import idle_transactions
from siskindale.proxy.tables import Group, Need, Waiter

WRITE = Need(None, 1, 9.0, primary_only=True, objective_at=8.0)


def test_the_limit_falls_with_the_demand() -> None:
    """Guards against rolling back idle transactions without need, and against keeping them."""
    limits = [idle_transactions.idle_limit(3.0, waiting) for waiting in range(10)]
    assert limits[0] == 3.0
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] == idle_transactions.MIN_IDLE_S
    assert idle_transactions.idle_limit(0.2, 10) == 0.2


def test_a_busy_target_is_not_helped_by_more_connections(group: Group) -> None:
    """Guards against aborted transactions while statements wait for slots, not connections."""
    target = group.targets["a"]
    group.waiters = [Waiter(WRITE, set(), AsyncResult())]
    target.in_flight, target.idle_transaction_count = 6, 6
    assert idle_transactions.waits_for_connections(group, target, running_limit=2)
    target.idle_transaction_count = 3
    assert not idle_transactions.waits_for_connections(group, target, running_limit=2)


def test_only_the_primary_is_short_of_connections_for_writes(group: Group) -> None:
    """Guards against aborting transactions at replicas that no statement waits for."""
    group.waiters = [Waiter(WRITE, set(), AsyncResult())]
    assert not idle_transactions.waits_for_connections(group, group.targets["b"], running_limit=2)


def test_writes_go_on_while_clients_are_idle_in_transactions(deployment: Deployment) -> None:
    """Guards against idle transactions that hold every connection of the primary.

    The limit of idle transactions is 3 s; the target admits no more connections than the idle
    clients hold.
    """
    clients = 8
    deployment.max_connections = clients
    for target in deployment.group.targets.values():
        target.max_connections = clients
    deployment.configure(2)
    proxy = deployment.start_proxy()
    resters = [proxy.client() for _ in range(clients + 2)]
    for number, rester in enumerate(resters):
        rester.send(f"QUERY b{number} BEGIN\r\nQUERY w{number} WRITE other{number} 1\r\n".encode())
    writer = proxy.client()
    assert writer.query("WRITE item 1").error is None
    eventually(lambda: "scarce" in proxy.log, "an idle transaction is rolled back")
