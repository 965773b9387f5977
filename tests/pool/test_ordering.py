"""Order of requests within a class."""

import attrs
import pytest

from siskindale.pool.stages import Stage
from siskindale.pool.systems import ordering
from siskindale.pool.tables import QueueRow, RequestRow, Tables
from tests.pool.world import CLASSES, World

LONG_S = 0.2
SHORT_S = 0.002


@pytest.fixture
def tables() -> Tables:
    """Tables of a pool with one request."""
    world = World(pools=1)
    world.write(0, 0)
    return world.pools[0]


def statement(tables: Tables, sql: str, arrived: float = 0.0) -> RequestRow:
    """Returns a read with the given SQL text."""
    request = next(iter(tables.requests.values()))
    body = attrs.evolve(request.body, sql=sql)
    return attrs.evolve(request, body=body, stage=Stage.READ, arrived_at=arrived)


def record_runs(tables: Tables) -> None:
    """Records enough runs of both texts to estimate their cost."""
    for _ in range(ordering.RECENT_RUNS):
        ordering.record_run(statement(tables, "long"), LONG_S)
        ordering.record_run(statement(tables, "short"), SHORT_S)


def test_recent_runs_weigh_most(tables: Tables) -> None:
    """Guards against an estimate that does not follow a change of the statement's cost."""
    record_runs(tables)
    for _ in range(5):
        ordering.record_run(statement(tables, "short"), LONG_S)
    assert ordering.expected_cost_s(statement(tables, "short")) > 0.7 * LONG_S


def test_short_statement_overtakes_a_long_one(tables: Tables) -> None:
    """Guards against many short statements that wait for a few long ones."""
    record_runs(tables)
    queue = QueueRow(CLASSES[0])
    ordering.push_new(tables, queue, statement(tables, "long"), 10.0)
    ordering.push_new(tables, queue, statement(tables, "short"), 10.5)
    assert ordering.pop(queue).body.sql == "short"


def test_long_statement_is_not_starved(tables: Tables) -> None:
    """Guards against long statements that starve while short ones keep arriving."""
    record_runs(tables)
    queue = QueueRow(CLASSES[0])
    ordering.push_new(tables, queue, statement(tables, "long"), 10.0)
    latest = 10.0 + ordering.COST_FACTOR * LONG_S
    ordering.push_new(tables, queue, statement(tables, "short"), latest + 0.1)
    assert ordering.pop(queue).body.sql == "long"


def test_admitted_request_keeps_its_place(tables: Tables) -> None:
    """Guards against a request that queues behind new ones after each of its batches."""
    queue = QueueRow(CLASSES[0])
    ordering.push_new(tables, queue, statement(tables, "new"), 10.0)
    ordering.push_admitted(tables, queue, statement(tables, "second", arrived=9.0))
    ordering.push_admitted(tables, queue, statement(tables, "first", arrived=8.0))
    assert [ordering.pop(queue).body.sql for _ in range(3)] == ["first", "second", "new"]


def test_number_of_texts_is_bounded(tables: Tables) -> None:
    """Guards against memory that grows with values written into the SQL text."""
    for number in range(ordering.MAX_TRACKED_TEXTS + 10):
        ordering.record_run(statement(tables, f"SELECT {number}"), SHORT_S)
    assert len(statement(tables, "x").group.run_times_by_sql) == ordering.MAX_TRACKED_TEXTS
