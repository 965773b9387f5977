"""Fault switches: each breaks one decision, and the oracle must notice it in a short scenario."""

from collections.abc import Callable
from typing import Any

import pytest

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.pool import answers
from siskindale.pool.effects import RunBatch
from siskindale.pool.systems import acknowledgement, connections, failure, freshness, intake
from siskindale.pool.tables import RequestRow, Stage
from tests.pool.oracle import ViolationError
from tests.pool.world import Flight, World

Scenario = Callable[[World], None]


def batches(world: World, pool: int = 0) -> list[Flight]:
    """Returns the batches of a pool that are on their way."""
    return [f for f in world.flights if f.pool == pool and isinstance(f.effect, RunBatch)]


def isolated_primary(world: World) -> None:
    """A caller still reaches the old primary while the others have a new one."""
    world.write(0, 0)
    world.run(0.2)
    world.group.isolate("a", ("controller", "pool1"))
    world.group.cut("pool0", "b")
    world.group.cut("pool0", "c")
    world.promote("bc")
    world.run(1.2)
    world.write(1, 1)
    world.run(0.3)
    world.read(0, 0)
    world.write(0, 0)
    world.run(0.3)


def lost_answer(world: World) -> None:
    """A write runs, but its answer is lost."""
    world.write(0, 0)
    world.execute(batches(world)[0])
    world.lose(batches(world)[0])
    world.run(0.5)


def unmatched_replica(world: World) -> None:
    """The old primary follows the new one, but its log still ends in entries of its own."""
    world.group.isolate("a", ("b", "c"))
    for _ in range(4):
        world.write(0, 0)
    world.run(0.1)
    world.promote("bc")
    world.group.heal()
    world.group.cut("b", "c")
    world.follow()
    world.run(0.1, replicate=False)
    world.write(0, 1)
    world.run(0.2, replicate=False)
    world.crash("b")
    world.promote("ac")


def lagging_replica(world: World) -> None:
    """A replica has the caller's write in its log, but does not show it yet."""
    world.read(0, 0, 1000.0)
    world.run(0.2)
    world.write(0, 0)
    for _ in range(20):
        world.run(0.004, replicate=False)
        for name in "bc":
            world.group.ship(name)
    world.read(0, 0, 1000.0)
    world.run(0.1, replicate=False)


def late_replica_answer(world: World) -> None:
    """A replica's answer arrives after a promotion and a write that it does not contain."""
    world.read(0, 0, 1000.0)
    world.run(0.3)
    world.read(0, 0, 1000.0)
    late = [f for f in batches(world) if f.effect.connection.request.stage is Stage.REPLICA_READ]
    for flight in late:
        world.execute(flight)
    world.group.isolate("a", ("controller", "pool1"))
    world.group.cut("pool0", "b")
    world.group.cut("pool0", "c")
    world.promote("bc")
    world.run(1.1, only=1)
    world.write(1, 1)
    world.run(0.2, only=1)
    world.read(0, 0, 1000.0)
    for flight in [f for f in world.flights if f.pool == 0 and f not in late]:
        if flight in world.flights:
            world.deliver(flight)
    world.group.heal()
    for flight in late:
        world.answer(flight)


def repeated_key(world: World) -> None:
    """A caller repeats a keyed write at another pool."""
    world.write(0, 0, "filing", key=True)
    world.run(0.3)
    world.write(1, 0, "filing", key=True)
    world.run(0.3)


def lost_statement_answer(world: World) -> None:
    """The answer to a statement of a transaction is lost; later work needs connections."""
    begun = world.begin(0, 0)
    world.run(0.1)
    world.in_transaction(begun, "statement")
    flight = batches(world)[0]
    world.execute(flight)
    world.lose(flight)
    flight.effect.connection.handle.usable = True
    world.write(0, 1)
    world.run(0.3)


def _release(tables: Any, connection: Any) -> list[Any]:
    connection.request = connection.transaction = None
    connection.target.idle.append(connection)
    tables.touch(connection.target.group)
    return []


def _refuse(tables: Any, request: RequestRow, detail: str) -> list[Any]:
    request_id = request.body.request_id
    answer = answers.refusal(request_id, Outcome.NOT_RUN, RefusalKind.UNAVAILABLE, detail)
    return answers.end(tables, request, answer)


def _nth(group: Any, count: int, field: str) -> float:
    return 1e18 if field == "confirmed_at" else NTH(group, count, field)


def _observe(group: Any, target: Any, status: Any, sent_at: float) -> None:
    acknowledgement.note(target, status.log.position, sent_at)
    group.writable = group.writable or acknowledgement.marker_confirmed(group)


NTH = acknowledgement._nth
DISCOVERY = "siskindale.pool.systems.discovery"
SWITCHES: dict[str, tuple[Scenario, Any, str, Any]] = {
    "acknowledge-without-majority": (
        isolated_primary,
        acknowledgement,
        "majority",
        lambda voters: 1,
    ),
    "release-strict-reads-unconfirmed": (isolated_primary, acknowledgement, "_nth", _nth),
    "count-unmatched-logs": (unmatched_replica, DISCOVERY, "_observe_term", _observe),
    "sample-without-majority": (late_replica_answer, freshness, "majority", lambda voters: 1),
    "ignore-token": (lagging_replica, RequestRow, "token", LogPosition()),
    "retry-unkeyed-writes": (
        lost_answer,
        failure,
        "SAFE_TO_REPEAT",
        failure.SAFE_TO_REPEAT | {Stage.WRITE},
    ),
    "report-lost-as-not-run": (lost_answer, answers, "lose", _refuse),
    "ignore-keys": (
        repeated_key,
        intake,
        "_first_stage",
        lambda tables, request, now: Stage.WRITE,
    ),
    "reuse-unclear-connections": (lost_statement_answer, connections, "close", _release),
}


@pytest.mark.parametrize("name", SWITCHES)
def test_oracle_catches_fault(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an oracle that would pass a broken pool."""
    scenario, place, attribute, value = SWITCHES[name]
    world = World()
    scenario(world)
    world.finish()
    world = World()
    if isinstance(place, str):
        monkeypatch.setattr(f"{place}.{attribute}", value)
    else:
        monkeypatch.setattr(place, attribute, value)
    with pytest.raises(ViolationError):
        scenario(world)
        world.finish()
