"""Tests of the pool process over stand-in targets, through its real mailbox."""

import io
from pathlib import Path

import uuid6

from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.wire import BeginRequest, FinishRequest, TransactionStatement
from siskindale.pool import core
from tests.pool.conftest import PoolProcess

CREATE = "CREATE TABLE caves (id INTEGER PRIMARY KEY, name TEXT)"
INSERT = "INSERT INTO caves (name) VALUES ('Kapchuk')"
COUNT = "SELECT COUNT(*) FROM caves"


def create_table(pool: PoolProcess) -> None:
    answer = pool.client.run(CREATE, "write")
    assert answer.outcome is Outcome.DONE, answer


def test_write_and_strict_read(pool: PoolProcess) -> None:
    """Guards against a pool that cannot serve even a plain write and read."""
    create_table(pool)
    written = pool.client.run(INSERT, "write")
    assert (written.outcome, written.role) == (Outcome.DONE, "primary")
    read = pool.client.run(COUNT, token=written.position)
    assert read.result is not None and read.result.rows == ((1,),)
    assert read.position >= written.position


def test_health_pages(pool: PoolProcess) -> None:
    """Guards against a pool without readiness or without metrics by group and class."""
    create_table(pool)
    assert pool.health("/readyz")[0] == 200
    page = pool.health("/metrics")[1].decode()
    line = 'siskindale_pool_requests_total{class="revisions",group="survey",outcome="done"} 1.0'
    assert line in page


def test_settings_faults_are_errors(tmp_path: Path) -> None:
    """Guards against tracebacks for operator errors."""
    file = tmp_path / "settings.json"
    file.write_text('{"vm": 1, "colour": "red"}')
    env = Environment(stderr=io.StringIO(), program="siskindale-pool")
    assert core.main(["--settings", str(file)], env) == ExitStatus.INVALID_INPUT
    lines = env.stderr.getvalue().splitlines()  # type: ignore[attr-defined]
    assert len(lines) > 2 and all(x.startswith("siskindale-pool: error: ") for x in lines)


def test_keyed_write_runs_once(pool: PoolProcess) -> None:
    """Guards against a write that runs again when the caller retries the request."""
    create_table(pool)
    key = str(uuid6.uuid7())
    fields = {"statement_class": "filings", "key": key}
    first = pool.client.run(INSERT, "write", **fields)
    second = pool.client.run(INSERT, "write", **fields)
    assert first.outcome is second.outcome is Outcome.DONE
    assert first.result == second.result
    read = pool.client.run(COUNT)
    assert read.result is not None and read.result.rows == ((1,),)
    other = pool.client.run(INSERT, "write", **(fields | {"digest": "other"}))
    assert other.refusal is not None and other.refusal.kind is RefusalKind.KEY_REUSED
    missing = pool.client.run(INSERT, "write", statement_class="filings")
    assert missing.refusal is not None and missing.refusal.kind is RefusalKind.KEY_REQUIRED


def test_bounded_read_uses_a_replica(pool: PoolProcess) -> None:
    """Guards against replicas that never serve reads."""
    create_table(pool)
    written = pool.client.run(INSERT, "write")
    answers = [pool.client.run(COUNT, max_age_ms=500.0, token=written.position) for _ in range(20)]
    rows = {answer.result.rows if answer.result else None for answer in answers}
    assert rows == {((1,),)}
    replica = [answer for answer in answers if answer.role == "replica"]
    assert len(replica) >= 15
    assert all(answer.age_ms is not None and answer.age_ms <= 500 for answer in replica)


def test_read_access_cannot_write(pool: PoolProcess) -> None:
    """Guards against a write that is declared as a read and therefore retried."""
    create_table(pool)
    answer = pool.client.run(INSERT, "read")
    assert answer.outcome is Outcome.NOT_RUN
    read = pool.client.run(COUNT)
    assert read.result is not None and read.result.rows == ((0,),)


def test_transaction(pool: PoolProcess) -> None:
    """Guards against statements of a transaction that run outside it."""
    create_table(pool)
    begun = pool.client.call(BeginRequest("b1", "club", "survey", "revisions", 5000.0, 1))
    assert begun.transaction is not None
    transaction_id = begun.transaction
    first = pool.client.call(TransactionStatement("s1", "club", transaction_id, INSERT, (), 5000.0))
    assert first.outcome is Outcome.DONE, first
    outside = pool.client.run(COUNT)
    assert outside.result is not None and outside.result.rows == ((0,),)
    ended = pool.client.call(FinishRequest("f1", "club", transaction_id, True, 5000.0))
    assert ended.outcome is Outcome.DONE
    inside = pool.client.run(COUNT, token=ended.position)
    assert inside.result is not None and inside.result.rows == ((1,),)
    again = pool.client.call(FinishRequest("f2", "club", transaction_id, True, 5000.0))
    assert again.refusal is not None and again.refusal.kind is RefusalKind.UNKNOWN_TRANSACTION


def test_sigterm_finishes_work_in_flight(pool: PoolProcess) -> None:
    """Guards against requests that a restart of the pool cuts off."""
    create_table(pool)
    slow = pool.client.send(pool.client.statement("/* cost_ms=400 */ SELECT 1"))
    pool.client.run(COUNT)
    pool.process.popen.terminate()
    assert slow.get(timeout=5).outcome is Outcome.DONE
    assert pool.process.popen.wait(5) == 0
