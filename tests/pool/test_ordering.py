"""Order of requests within a class."""

import attrs
import pytest

from siskindale.pool.systems import ordering
from siskindale.pool.tables import QueueRow, RequestRow, Stage, Tables
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
    """Returns a read of a text."""
    request = next(iter(tables.requests.values()))
    body = attrs.evolve(request.body, sql=sql)
    return attrs.evolve(request, body=body, stage=Stage.READ, arrived=arrived)


def learn(tables: Tables) -> None:
    """Runs both texts often enough to know their cost."""
    for _ in range(ordering.RECENT_RUNS):
        ordering.note(statement(tables, "long"), LONG_S)
        ordering.note(statement(tables, "short"), SHORT_S)


def test_recent_runs_weigh_most(tables: Tables) -> None:
    """Guards against an estimate that keeps a cost which the statement no longer has."""
    learn(tables)
    for _ in range(5):
        ordering.note(statement(tables, "short"), LONG_S)
    assert ordering.expected_s(statement(tables, "short")) > 0.7 * LONG_S


def test_short_statement_overtakes_a_long_one(tables: Tables) -> None:
    """Guards against many short statements that wait for few long ones."""
    learn(tables)
    queue = QueueRow(CLASSES[0])
    ordering.push(tables, queue, statement(tables, "long"), 10.0)
    ordering.push(tables, queue, statement(tables, "short"), 10.5)
    assert ordering.pop(queue).body.sql == "short"


def test_long_statement_is_not_starved(tables: Tables) -> None:
    """Guards against long statements that wait as long as short ones keep coming."""
    learn(tables)
    queue = QueueRow(CLASSES[0])
    ordering.push(tables, queue, statement(tables, "long"), 10.0)
    latest = 10.0 + ordering.AGING * LONG_S
    ordering.push(tables, queue, statement(tables, "short"), latest + 0.1)
    assert ordering.pop(queue).body.sql == "long"


def test_admitted_request_keeps_its_place(tables: Tables) -> None:
    """Guards against a request that starts over behind new ones after each of its batches."""
    queue = QueueRow(CLASSES[0])
    ordering.push(tables, queue, statement(tables, "new"), 10.0)
    ordering.push_back(tables, queue, statement(tables, "second", arrived=9.0))
    ordering.push_back(tables, queue, statement(tables, "first", arrived=8.0))
    assert [ordering.pop(queue).body.sql for _ in range(3)] == ["first", "second", "new"]


def test_number_of_texts_is_bounded(tables: Tables) -> None:
    """Guards against memory that grows with values written into the text."""
    for number in range(ordering.MAX_TEXTS + 10):
        ordering.note(statement(tables, f"SELECT {number}"), SHORT_S)
    assert len(statement(tables, "x").group.costs) == ordering.MAX_TEXTS
