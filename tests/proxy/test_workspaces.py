"""Callers with keys, between proxy processes and the stand-in of the platform."""

import itertools
import signal
from typing import Any

import gevent
import pytest

from bench.proxy_deployment import GROUP, Deployment, Proxy, eventually
from siskindale.membership.rendezvous import rendezvous_score

REVOKE_MS = 2500


def workspace(name: str, *keys: str, rate_per_s: float = 1000.0) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys), "rate_per_s": rate_per_s, "burst": rate_per_s}


@pytest.fixture
def proxies(deployment: Deployment) -> list[Proxy]:
    """Two proxies that tell two workspaces apart; the route `open` needs no key."""
    deployment.settings = {
        "strict_revoke": True,
        "revoke_ms": REVOKE_MS,
        "quota_window_s": 5,
        "quota_overage": 0.1,
        "quota_slack": 4,
    }
    deployment.workspaces = [workspace("acme", "ka1", "ka2"), workspace("brook", "kb")]
    deployment.configure(2, open={"kind": "primary", "anonymous": True})
    first = deployment.start_proxy("vm1")
    return [first, deployment.start_proxy("vm2", seeds=[deployment.peers_address("vm1")])]


def workspaces_of(deployment: Deployment, request_prefix: str) -> set[bytes]:
    return {
        execution.workspace
        for execution in deployment.group.executions
        if execution.request_id.startswith(request_prefix.encode())
    }


def test_statements_run_in_the_name_of_their_workspace(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against statements that run for another workspace, and keys that reach a target."""
    for proxy in proxies:
        for key, prefix in (("ka1", "acme"), ("ka2", "acme"), ("kb", "brook")):
            client = proxy.client(key=key)
            for number in range(3):
                reply = client.query(f"WRITE item{prefix} {number}", f"{prefix}-{key}-{number}")
                assert reply.error is None
            client.query("BEGIN")
            assert client.query("READ item", f"{prefix}-{key}-tx").error is None
            assert client.query("COMMIT").error is None
    assert workspaces_of(deployment, "acme") == {b"acme"}
    assert workspaces_of(deployment, "brook") == {b"brook"}


def test_an_unknown_key_is_refused_but_not_on_an_anonymous_route(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against callers without a valid key."""
    assert proxies[0].client(key="nobody").greeting.startswith(b"ERR NOAUTH")
    assert proxies[0].client("open", key="nobody").query("READ item").error is None


def test_a_key_that_is_taken_away_ends_its_open_transaction(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against a connected client that goes on with a key that was taken away."""
    client, other = proxies[0].client(key="ka1"), proxies[0].client(key="ka2")
    client.query("BEGIN")
    assert client.query("WRITE item 1").error is None
    deployment.workspaces = [workspace("acme", "ka2"), workspace("brook", "kb")]
    deployment.configure(3)
    eventually(
        lambda: proxies[0].client(key="ka1").greeting.startswith(b"ERR NOAUTH"), "key is refused"
    )
    assert client.query("COMMIT").error == b"NOAUTH"
    assert other.query("READ item").rows == ()
    assert other.query("WRITE item 2").error is None
    assert client.query("READ item").error == b"NOAUTH"


def test_a_key_that_moves_to_another_workspace_ends_its_open_transaction(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against statements of a key that run on for the workspace that held it before."""
    client = proxies[0].client(key="ka1")
    client.query("BEGIN")
    assert client.query("WRITE item 1").error is None
    deployment.workspaces = [workspace("acme", "ka2"), workspace("brook", "kb", "ka1")]
    deployment.configure(3)
    eventually(lambda: "version=3" in proxies[0].log, "the catalog is in force")
    assert client.query("WRITE item 2", "moved").error == b"NOAUTH"
    assert client.query("ROLLBACK").error is None
    assert client.query("READ item", "after").error is None
    assert workspaces_of(deployment, "moved") == set()
    assert workspaces_of(deployment, "after") == {b"brook"}


def test_keys_are_refused_once_the_store_has_been_silent_for_too_long(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against a VM without the store that serves a key which was taken away meanwhile."""
    keyed, anonymous = proxies[0].client(key="ka1"), proxies[0].client("open")
    assert keyed.query("READ item").error is None
    deployment.platform.faults.stop_responding()
    gevent.sleep(REVOKE_MS / 1000)
    assert keyed.query("READ item").error == b"BUSY"
    assert anonymous.query("READ item").error is None
    deployment.platform.faults.unresponsive = False
    eventually(lambda: keyed.query("READ item").error is None, "the catalog is confirmed again")


def test_operations_beyond_the_quota_are_refused_on_all_vms_together(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against a quota that each VM admits for itself."""
    deployment.workspaces = [workspace("acme", "ka1", rate_per_s=4.0), workspace("brook", "kb")]
    deployment.configure(3)
    gevent.sleep(1.0)
    clients = [proxy.client(key="ka1") for proxy in proxies]
    replies = [client.query("READ item") for _ in range(40) for client in clients]
    limit = (4.0 * 5 + 4.0) * 1.1 + 4
    assert 1 <= sum(reply.error is None for reply in replies) <= limit
    assert {reply.error for reply in replies} == {None, b"BUSY"}
    assert proxies[0].client(key="kb").query("READ item").error is None


def workspace_of_home(home: str) -> str:
    """Returns the name of a workspace that one of the two VMs serves in the group."""

    def score(vm: str, name: str) -> int:
        return rendezvous_score(f"{GROUP}\x00{name}", vm)

    names = (f"w{number}" for number in itertools.count())
    return next(name for name in names if home == max(("vm1", "vm2"), key=lambda v: score(v, name)))


@pytest.mark.parametrize("lost_by", [signal.SIGKILL, signal.SIGSTOP])
def test_another_vm_serves_a_workspace_whose_home_is_lost(
    deployment: Deployment, proxies: list[Proxy], lost_by: signal.Signals
) -> None:
    """Guards against a workspace that is not served while its home is killed or paused."""
    name = workspace_of_home("vm2")
    deployment.workspaces = [workspace(name, "kw")]
    deployment.configure(3)
    eventually(lambda: "version=3" in proxies[0].log, "the catalog is in force")
    client = proxies[0].client(key="kw")
    assert client.query("WRITE item 1").error is None
    proxies[1].process.signal(lost_by)
    eventually(lambda: client.query("WRITE item 2").error is None, "the other VM serves it")
    assert client.query("READ item", "read").rows == (b"2",)
    assert workspaces_of(deployment, "read") == {name.encode()}


def test_a_vm_that_was_paused_beyond_the_revocation_time_refuses_the_key(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against a VM that wakes and serves a key which was taken away while it was paused."""
    client = proxies[0].client(key="ka1")
    assert client.query("READ item").error is None
    proxies[0].process.signal(signal.SIGSTOP)
    deployment.workspaces = [workspace("acme", "ka2"), workspace("brook", "kb")]
    deployment.configure(3)
    gevent.sleep(REVOKE_MS / 1000 + 0.2)
    client.send(b"QUERY woken READ item\r\n")
    proxies[0].process.signal(signal.SIGCONT)
    assert client.read_reply().error in (b"BUSY", b"NOAUTH")
    assert workspaces_of(deployment, "woken") == set()


def test_resting_transactions_of_one_workspace_do_not_hold_all_connections(
    deployment: Deployment, proxies: list[Proxy]
) -> None:
    """Guards against a workspace that is starved by transactions of another, whose clients rest."""
    resting = [proxies[number % 2].client(key="ka1") for number in range(20)]
    for client in resting:
        client.send(b"QUERY b BEGIN\r\nQUERY w WRITE item 1\r\n")
    gevent.sleep(0.5)
    other = proxies[0].client(key="kb")
    eventually(lambda: other.query("WRITE item 2").error is None, "the other workspace is served")
