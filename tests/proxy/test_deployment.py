"""Failures of targets, store and proxies, as clients of proxy processes see them."""

import json
import signal
import time
from pathlib import Path

import gevent
import pytest

from bench.processes import Processes
from bench.proxy_deployment import WAIT_TIMEOUT_S, Deployment, eventually
from siskindale.exits import ExitStatus


def test_a_crashed_primary_is_replaced(deployment: Deployment) -> None:
    """Guards against writes that keep failing after a crash of the primary."""
    first = deployment.start_proxy("vm1")
    client = first.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: len(deployment.group.targets["t1"].log) == 1, "replicas have the commit")
    deployment.group.primary.crash()
    deployment.register_all()
    eventually(lambda: client.query("WRITE item 2").error is None, "a write is accepted")
    assert client.query("READ item").rows == (b"2",)
    assert deployment.group.term == 2


def test_no_read_is_answered_by_a_demoted_primary(deployment: Deployment) -> None:
    """Guards against a read that misses a commit acknowledged by the new primary."""
    client = deployment.start_proxy().client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: len(deployment.group.targets["t1"].log) == 1, "t1 has the commit")
    deployment.group.promote("t1")
    deployment.group.commit(deployment.group.primary, [(b"item", b"2")])
    assert client.query("READ item").rows == (b"2",)


def test_an_unanswered_promotion_is_settled_before_another(deployment: Deployment) -> None:
    """Guards against a delayed promotion that replaces a primary promoted after it."""
    client = deployment.start_proxy().client()
    assert client.query("WRITE item 1").error is None
    deployment.platform.faults.lose_promotions = 1
    deployment.platform.faults.promotion_delay_s = 1.0
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a write is accepted")
    gevent.sleep(1.2)
    calls = deployment.platform.promotions
    assert len(calls) >= 2
    targets = {(call.target, call.fencing_token) for call in calls}
    assert len({token for _, token in targets}) == len(targets)
    assert client.query("READ item").rows == (b"2",)


def test_a_draining_primary_is_replaced_while_it_serves(deployment: Deployment) -> None:
    """Guards against a planned shutdown that interrupts writes."""
    client = deployment.start_proxy().client()
    leaving = deployment.group.primary
    deployment.register(leaving, state="draining")
    eventually(lambda: deployment.group.primary is not leaving, "another target is the primary")
    assert client.query("WRITE item 1").error is None


def test_a_proxy_without_a_store_starts_and_waits(deployment: Deployment) -> None:
    """Guards against a proxy that exits, or reports readiness without a configuration."""
    deployment.platform.faults.down = True
    proxy = deployment.start_proxy(ready=False)
    eventually(lambda: "store-unavailable" in proxy.log, "the unavailable store is logged")
    assert not proxy.ready
    deployment.platform.faults.down = False
    eventually(lambda: proxy.ready, "the proxy is ready")
    assert proxy.client().query("READ item").error is None


def test_sessions_continue_while_the_store_is_down(deployment: Deployment) -> None:
    """Guards against statements that depend on the store."""
    client = deployment.start_proxy().client()
    deployment.platform.faults.down = True
    for number in range(20):
        assert client.query(f"WRITE item {number}").error is None


def test_tables_are_reloaded_after_a_lost_history(deployment: Deployment) -> None:
    """Guards against a follower that misses a configuration after the store lost its history."""
    proxy = deployment.start_proxy()
    deployment.platform.faults.history_lost = True
    deployment.configure(2, added={"kind": "primary"})
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")


def test_sigterm_closes_idle_sessions_and_lets_transactions_finish(deployment: Deployment) -> None:
    """Guards against a shutdown that interrupts an open transaction."""
    proxy = deployment.start_proxy()
    idle, busy = proxy.client(), proxy.client()
    busy.query("BEGIN")
    busy.query("WRITE item 1")
    proxy.process.signal(signal.SIGTERM)
    eventually(lambda: not proxy.ready, "the proxy is not ready")
    assert idle.read_line() == b""
    assert busy.query("COMMIT").error is None
    assert busy.read_line() == b""
    eventually(lambda: not proxy.process.running, "the proxy has ended")
    assert proxy.process.popen.returncode == 0


def test_invalid_registrations_of_other_writers_are_ignored(deployment: Deployment) -> None:
    """Guards against an invalid entry that is used as a target or stops others being read."""
    proxy = deployment.start_proxy()
    deployment.platform.put("servers", "t9", {"service": "g1", "state": "ready"})
    deployment.platform.put("servers", "t8", {"service": 5, "address": None})
    deployment.configure(2, added={"kind": "primary"})
    eventually(lambda: "registration-ignored" in proxy.log, "the entry is logged")
    assert proxy.client().query("READ item").error is None


def test_a_proxy_starts_from_the_state_of_a_peer(deployment: Deployment) -> None:
    """Guards against a proxy that cannot start without the store although a peer has its data."""
    first = deployment.start_proxy("vm1")
    deployment.platform.faults.down = True
    second = deployment.start_proxy("vm2", seeds=[deployment.peers_address("vm1")])
    assert second.client().query("READ item").error is None
    assert first.ready


def test_an_invalid_settings_file_gives_every_finding(tmp_path: Path, processes: Processes) -> None:
    """Guards against a check that reports only the first of several errors."""
    path = tmp_path / "proxy.json"
    path.write_text('{"vm": 7, "seeds": ["x"], "clients": "127.0.0.1", "drian_ms": 7000}')
    process = processes.start("check", "siskindale.proxy", ["check-settings", str(path)])
    assert process.popen.wait(WAIT_TIMEOUT_S) == ExitStatus.INVALID_INPUT
    log = process.log.read_text()
    for place in ("$.vm", "$.failure_domain", "$.seeds[0]", "$.clients", "$.store", "$.drian_ms"):
        assert place in log


def test_status_shows_the_deployment(deployment: Deployment, processes: Processes) -> None:
    """Guards against a status that does not show what the proxies read from the store."""
    deployment.platform.put("servers", "t9", {"service": "g1"})
    path, *_ = deployment.write_settings("vm1")
    process = processes.start("status", "siskindale.proxy", ["status", str(path), "--json"])
    eventually(lambda: not process.running, "the command has ended")
    assert process.popen.returncode == ExitStatus.SUCCESS
    shown = json.loads(process.log.read_text())
    assert shown["catalog_version"] == 1
    assert shown["store_era"] == deployment.platform.era
    assert {t["id"]: t["role"] for t in shown["targets"]}["t0"] == "primary"
    assert shown["targets"][-1]["problem"]


def test_sighup_reloads_the_settings(deployment: Deployment) -> None:
    """Guards against a reload that stops the proxy or applies an invalid file."""
    proxy = deployment.start_proxy()
    path = deployment.path("vm1")
    path.write_text(path.read_text().replace('"grace_s": 4', '"grace_s": 3'))
    proxy.process.signal(signal.SIGHUP)
    eventually(lambda: "changed=grace_s" in proxy.log, "the change is logged")
    path.write_text('{"vm": 7}')
    proxy.process.signal(signal.SIGHUP)
    eventually(lambda: "settings-invalid" in proxy.log, "the findings are logged")
    assert proxy.client().query("READ item").error is None


@pytest.mark.parametrize(
    "path", ["docs/examples/proxy.json", "docs/examples/hlanganani/proxy.json"]
)
def test_the_example_settings_have_no_findings(processes: Processes, path: str) -> None:
    """Guards against an example with which no proxy starts."""
    process = processes.start("example", "siskindale.proxy", ["check-settings", path])
    assert process.popen.wait(WAIT_TIMEOUT_S) == ExitStatus.SUCCESS


def test_bounded_reads_continue_while_the_primary_is_lost(deployment: Deployment) -> None:
    """Guards against reads that wait for a lost primary although replicas have what they need."""
    proxy = deployment.start_proxy()
    writer, reader = proxy.client(), proxy.client("bounded")
    assert writer.query("WRITE item 1").error is None
    deployment.platform.faults.lose_promotions = 100
    deployment.platform.faults.promotion_delay_s = WAIT_TIMEOUT_S
    eventually(lambda: reader.query("READ item").rows == (b"1",), "replicas have the commit")
    deployment.group.primary.crash()
    assert reader.query("READ item").error is None
    assert deployment.group.executions[-1].target != "t0"


def test_a_transaction_is_refused_within_the_time_of_a_statement(deployment: Deployment) -> None:
    """Guards against a first statement that waits for the early start and again for a second."""
    client = deployment.start_proxy().client()
    deployment.platform.faults.lose_promotions = 100
    deployment.platform.faults.promotion_delay_s = WAIT_TIMEOUT_S
    assert client.query("READ item").error is None
    deployment.group.primary.crash()
    assert client.query("BEGIN").error is None
    started = time.monotonic()
    assert client.query("READ item").error == b"BUSY"
    assert time.monotonic() - started < 2 * 3.0
    assert client.query("ROLLBACK").state == b"I"


def test_a_refused_transaction_is_logged_with_its_request(deployment: Deployment) -> None:
    """Guards against a refused transaction that cannot be found in the log by its request."""
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("READ item").error is None
    for target in deployment.group.targets.values():
        target.crash()
    client.query("BEGIN", request_id="begin-7")
    assert client.query("READ item").error is not None
    eventually(lambda: "request=begin-7" in proxy.log, "the line is written")
