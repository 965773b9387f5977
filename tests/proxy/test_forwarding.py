"""Statements that are forwarded to the owner of a group's connections, between proxy processes."""

import json
import signal

import gevent
import pytest
from gevent import socket

from bench.proxy_deployment import Deployment, Proxy, eventually
from siskindale.proxy.program import FORWARDING_CHECK_INTERVAL_S, PEER_EXCHANGE_DELAY_S

VMS = 4


@pytest.fixture
def fleet(deployment: Deployment) -> list[Proxy]:
    """Four proxies before targets that admit five connections, so that one VM owns them."""
    deployment.max_connections = 5
    deployment.configure(2)
    proxies = [deployment.start_proxy("vm1")]
    seed = deployment.peers_address("vm1")
    proxies += [deployment.start_proxy(f"vm{n}", seeds=[seed]) for n in range(2, VMS + 1)]
    eventually(lambda: owner_names(proxies), "the fleet agrees on one owner")
    return proxies


def owner_names(proxies: list[Proxy]) -> set[str]:
    """Returns the VM to which the others forward, empty while they disagree or do not forward."""
    served_by = set()
    for proxy in proxies:
        reply = proxy.client().query("READ probe", request_id=f"probe-{proxy.name}-{id(reply_ids)}")
        if reply.error is not None:
            return set()
        reply_ids.append(0)
    gevent.sleep(0.3)
    for proxy in proxies:
        lines = [line for line in proxy.log.splitlines() if "event=statement " in line]
        owners = [word for line in lines[-1:] for word in line.split() if word.startswith("owner=")]
        served_by.add(owners[0].removeprefix("owner=") if owners else proxy.name)
    return served_by if len(served_by) == 1 else set()


reply_ids: list[int] = []


def split(proxies: list[Proxy]) -> tuple[Proxy, list[Proxy]]:
    """Returns the owner and the other proxies."""
    owner = next(iter(eventually(lambda: owner_names(proxies), "the fleet agrees on one owner")))
    return (
        next(proxy for proxy in proxies if proxy.name == owner),
        [proxy for proxy in proxies if proxy.name != owner],
    )


def test_statements_and_transactions_run_through_another_vm(
    deployment: Deployment, fleet: list[Proxy]
) -> None:
    """Guards against a VM without connections that cannot serve its clients."""
    _, others = split(fleet)
    client, reader = others[0].client(), others[1].client()
    assert client.query("SET zone 1").error is None
    assert client.query("PREPARE s1 WRITE shape").error is None
    assert client.query("EXEC s1 item 7").error is None
    assert reader.query("READ item").rows == (b"7",)
    client.query("BEGIN")
    assert client.query("WRITE item 8").state == b"T"
    assert reader.query("READ item").rows == (b"7",)
    assert client.query("COMMIT").error is None
    assert reader.query("READ item").rows == (b"8",)
    client.query("BEGIN")
    client.query("WRITE item 9")
    assert client.query("ROLLBACK").state == b"I"
    assert reader.query("READ item").rows == (b"8",)


def test_a_client_that_disconnects_leaves_nothing_at_the_owner(
    deployment: Deployment, fleet: list[Proxy]
) -> None:
    """Guards against a transaction that stays open at the owner after its client has gone."""
    _, others = split(fleet)
    client, reader = others[0].client(), others[1].client()
    client.query("BEGIN")
    assert client.query("WRITE item 1").error is None
    client.close()
    assert reader.query("WRITE item 2").error is None
    assert reader.query("READ item").rows == (b"2",)


@pytest.mark.parametrize("lost_by", [signal.SIGKILL, signal.SIGSTOP])
def test_another_vm_takes_over_from_a_lost_owner(
    deployment: Deployment, fleet: list[Proxy], lost_by: signal.Signals
) -> None:
    """Guards against clients that stay without service after the owner is killed or paused."""
    owner, others = split(fleet)
    client = others[0].client()
    assert client.query("WRITE item 1").error is None
    owner.process.signal(lost_by)
    eventually(lambda: client.query("WRITE item 2").error is None, "another VM took over")
    assert client.query("READ item").rows == (b"2",)


def test_a_write_at_a_paused_owner_is_not_run_again(
    deployment: Deployment, fleet: list[Proxy]
) -> None:
    """Guards against a write that runs twice, and against a claim that it has not run."""
    owner, others = split(fleet)
    client = others[0].client()
    assert client.query("WRITE item 0").error is None
    owner.process.signal(signal.SIGSTOP)
    reply = client.query("WRITE item 1", request_id="once")
    assert reply.error in (b"UNKNOWN", b"TIMEOUT")
    owner.process.signal(signal.SIGCONT)
    eventually(lambda: client.query("READ item").error is None, "reads are served again")
    runs = [e for e in deployment.group.executions if e.text == b"WRITE item 1"]
    assert len(runs) <= 1


def test_an_open_transaction_fails_with_its_owner(
    deployment: Deployment, fleet: list[Proxy]
) -> None:
    """Guards against a commit that seems to succeed although the owner was lost before it."""
    owner, others = split(fleet)
    client = others[0].client()
    client.query("BEGIN")
    assert client.query("WRITE item 1").error is None
    owner.process.signal(signal.SIGKILL)
    failed = client.query("WRITE item 2")
    assert (failed.error, failed.state) == (b"ABORTED", b"E")
    assert client.query("ROLLBACK").state == b"I"
    eventually(lambda: client.query("WRITE item 3").error is None, "another VM took over")
    assert client.query("READ item").rows == (b"3",)


def test_an_owner_that_stops_hands_over_without_failures(
    deployment: Deployment, fleet: list[Proxy]
) -> None:
    """Guards against failures of clients elsewhere while an owner is stopped as planned."""
    owner, others = split(fleet)
    client = others[0].client()
    assert client.query("WRITE item 0").error is None
    owner.process.signal(signal.SIGTERM)
    for number in range(60):
        assert client.query(f"WRITE item {number}").error is None
        gevent.sleep(0.05)
    assert not owner.process.running


def test_a_vm_serves_others_only_once_they_have_to_forward(deployment: Deployment) -> None:
    """Guards against a small fleet that pays for forwarding while its first clients wait."""
    proxy = deployment.start_proxy("vm1")
    host, _, port = json.loads(deployment.path("vm1").read_text())["forwarding"].rpartition(":")

    def accepts_links() -> bool:
        try:
            socket.create_connection((host, int(port))).close()
        except ConnectionRefusedError:
            return False
        return True

    gevent.sleep(PEER_EXCHANGE_DELAY_S + 2 * FORWARDING_CHECK_INTERVAL_S)
    assert proxy.ready
    assert not accepts_links()
    deployment.max_connections = 2
    deployment.configure(2)
    eventually(accepts_links, "links are accepted")
