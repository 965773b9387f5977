"""Load generator and results, with a fake entry that returns the outcomes of a list."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from gevent.event import Event as StopEvent
from gevent.pywsgi import WSGIServer

from bench.callers import Access
from bench.cluster import CLASS_OF_KIND
from bench.experiment import DeploymentPlan, Experiment, Mix, Workload, load_experiment
from bench.faults import ACTIONS, random_schedule
from bench.generator import Job, generate
from bench.history import Event, FaultEvent, HistoryWriter, Record, read_history
from bench.results import compare, compute_results, read_results, write_results
from siskindale.models.address import Address

ONLY_KEYED = Mix(browse=0, strict=0, large=0, write=0, keyed=1, transaction=0)


class FakeEntry:
    """Entry that executes nothing; returns `outcomes` one by one, and `done` after the last."""

    def __init__(self) -> None:
        self.outcomes: list[str] = []
        self.requests: list[tuple[str, dict[str, Any], dict[str, Any]]] = []
        self._server = WSGIServer(("127.0.0.1", 0), self._answer, log=None)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    def _answer(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        body = msgspec.json.decode(environ["wsgi.input"].read())
        self.requests.append((environ["PATH_INFO"], body, environ))
        outcome = self.outcomes.pop(0) if self.outcomes else "done"
        start_response("200 OK", [("Siskindale-Session", f"token{len(self.requests)}")])
        rows = [[*body.get("params", [])[:1], None]]
        if "RECURSIVE" in body.get("sql", ""):
            rows = [[body["params"][1], n] for n in range(body["params"][0])]
        served = {"target": "caves-b", "role": "replica"}
        answer = {"outcome": outcome, "rows": rows, "served_by": served, "transaction": "t1"}
        return [msgspec.json.encode(answer)]


@pytest.fixture
def entry():
    fake = FakeEntry()
    yield fake
    fake.stop()


def run_workload(entry: FakeEntry, path: Path, **options: Any) -> tuple[Any, list[Event]]:
    access = Access({"vm1": entry.address, "vm2": entry.address}, "t", ("caves",), CLASS_OF_KIND)
    workload = Workload(seconds=0.5, rate=200, sessions=20, **options)
    writer = HistoryWriter(path)
    counts = generate(Job(access, workload, 0.0), writer, StopEvent())
    writer.close()
    return counts, list(read_history(path))


def test_every_kind_is_recorded(entry: FakeEntry, tmp_path: Path) -> None:
    """Guards against operations that are not recorded in the history."""
    mix = Mix(browse=1, strict=1, large=1, write=1, keyed=1, transaction=1)
    _, events = run_workload(entry, tmp_path / "h", mix=mix, rollback=0.5)
    kinds = {e.kind for e in events}
    assert kinds == {
        *("browse", "strict", "large", "write", "keyed", "transaction"),
        *("begin", "statement", "commit", "rollback"),
    }
    assert all(e.echo == e.nonce for e in events if e.nonce)
    assert {e.outcome for e in events if e.kind == "transaction"} == {"done", "rolled_back"}
    assert len([e for e in events if e.kind != "transaction"]) == len(entry.requests)


def test_session_token_moves_between_entries(entry: FakeEntry, tmp_path: Path) -> None:
    """Guards against a session that loses its token when it switches to another entry."""
    run_workload(entry, tmp_path / "h", roaming=1.0)
    first = sum("HTTP_SISKINDALE_SESSION" not in environ for _, _, environ in entry.requests)
    assert 0 < first <= 20 < len(entry.requests)


def test_keyed_write_repeats_with_its_key(entry: FakeEntry, tmp_path: Path) -> None:
    """Guards against repeating a write with a new key, which the proxy has to run again."""
    entry.outcomes = ["unknown"]
    _, events = run_workload(entry, tmp_path / "h", mix=ONLY_KEYED, resend=0.0)
    again = [e for e in events if e.attempt > 1]
    assert len(again) == 1
    keys = [
        environ["HTTP_IDEMPOTENCY_KEY"]
        for _, body, environ in entry.requests
        if body["params"][0] == again[0].uid
    ]
    assert len(keys) == 2
    assert len(set(keys)) == 1


def test_acknowledged_keyed_write_is_resent(entry: FakeEntry, tmp_path: Path) -> None:
    """Guards against runs without repeated keys, which cannot show that a write runs once."""
    _, events = run_workload(entry, tmp_path / "h", mix=ONLY_KEYED, resend=1.0)
    assert {e.attempt for e in events} == {1, 2}


def test_unkeyed_write_is_never_repeated(entry: FakeEntry, tmp_path: Path) -> None:
    """Guards against a caller that itself causes the double writes that the checks report."""
    entry.outcomes = ["unknown"] * 500
    mix = Mix(browse=0, strict=0, large=0, write=1, keyed=0, transaction=0)
    _, events = run_workload(entry, tmp_path / "h", mix=mix)
    assert len({e.uid for e in events}) == len(events) == len(entry.requests)


def test_unreachable_entry_is_not_sent(tmp_path: Path) -> None:
    """Guards against recording a request that was not sent as an unknown outcome."""
    access = Access({"vm1": Address("127.0.0.1", 1)}, "t", ("caves",), CLASS_OF_KIND)
    writer = HistoryWriter(tmp_path / "h")
    generate(Job(access, Workload(seconds=0.1), 0.0), writer, StopEvent())
    writer.close()
    assert {e.outcome for e in read_history(tmp_path / "h")} == {"not_sent"}


def test_results_and_comparison(tmp_path: Path) -> None:
    """Guards against a failover time that ends with a write sent before the loss."""

    def write(sent_at: float, ended_at: float) -> Event:
        return Event("write", "s1", "caves", "vm1", sent_at, sent_at, ended_at, "done")

    lost = FaultEvent(10.0, "kill", {}, {"lost_primary": True, "database": "caves"})
    record = Record([write(9.9, 10.1), write(10.2, 11.5), write(11.0, 11.4)], [lost])
    results = compute_results(Experiment(), record, 8.0, [], {}, 0)
    assert results.failovers[0].seconds == pytest.approx(1.4)
    assert results.latencies["write"].maximum == pytest.approx(1300, rel=0.01)
    write_results(results, tmp_path / "results.json")
    lines = list(compare(read_results(tmp_path / "results.json"), results))
    assert any("slowest failover" in line and "1.00" in line for line in lines)


def test_random_schedule_is_reproducible() -> None:
    """Guards against seeds that do not reproduce a schedule, and against unknown actions."""
    plan = DeploymentPlan()
    first = list(random_schedule(plan, 60, 7))
    assert first == list(random_schedule(plan, 60, 7)) != list(random_schedule(plan, 60, 8))
    assert {fault.action for fault in first} <= set(ACTIONS.names)
    assert first[-1].action == "heal"


def test_experiment_file_reports_every_finding(tmp_path: Path) -> None:
    """Guards against a misspelt setting that is silently replaced by its default."""
    file = tmp_path / "e.json"
    file.write_text('{"workload": {"rate": 10, "rat": 3}, "faults": [{"at_s": 1}]} // comment')
    findings = " ".join(map(str, load_experiment(file).failure()))
    assert "rat" in findings
    assert "action" in findings
