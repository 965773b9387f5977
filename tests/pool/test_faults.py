"""Mutation tests: each breaks one decision, which the oracle must detect in a short scenario."""

from collections.abc import Callable
from typing import Any

import pytest

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.pool import answers
from siskindale.pool.effects import RunBatch
from siskindale.pool.stages import Stage
from siskindale.pool.systems import acknowledgement, connections, failure, freshness, intake
from siskindale.pool.tables import RequestRow
from tests.pool.oracle import ViolationError
from tests.pool.world import TargetCall, World

Scenario = Callable[[World], None]


def running_batches(world: World, pool: int = 0) -> list[TargetCall]:
    """Returns the batches of a pool that are in flight."""
    return [c for c in world.calls if c.pool == pool and isinstance(c.effect, RunBatch)]


def isolated_primary(world: World) -> None:
    """A caller still reaches the old primary while the other targets have a new one."""
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
    world.execute(running_batches(world)[0])
    world.lose(running_batches(world)[0])
    world.run(0.5)


def unmatched_replica(world: World) -> None:
    """The old primary follows the new one, but its log still ends in unreplicated entries."""
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
    """A replica has the caller's write in its log, but has not applied it yet."""
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
    late = [
        c for c in running_batches(world) if c.effect.connection.request.stage is Stage.REPLICA_READ
    ]
    for call in late:
        world.execute(call)
    world.group.isolate("a", ("controller", "pool1"))
    world.group.cut("pool0", "b")
    world.group.cut("pool0", "c")
    world.promote("bc")
    world.run(1.1, only=1)
    world.write(1, 1)
    world.run(0.2, only=1)
    world.read(0, 0, 1000.0)
    for call in [c for c in world.calls if c.pool == 0 and c not in late]:
        if call in world.calls:
            world.deliver(call)
    world.group.heal()
    for call in late:
        world.answer(call)


def repeated_key(world: World) -> None:
    """A caller repeats a keyed write at another pool."""
    world.write(0, 0, "filing", key=True)
    world.run(0.3)
    world.write(1, 0, "filing", key=True)
    world.run(0.3)


def lost_statement_answer(world: World) -> None:
    """The answer to a statement of a transaction is lost, and later work needs its connection."""
    begun = world.begin(0, 0)
    world.run(0.1)
    world.in_transaction(begun, "statement")
    call = running_batches(world)[0]
    world.execute(call)
    world.lose(call)
    call.effect.connection.handle.usable = True
    world.write(0, 1)
    world.run(0.3)


def _release_instead_of_closing(tables: Any, connection: Any) -> list[Any]:
    connection.request = connection.transaction = None
    connection.target.idle_connections.append(connection)
    tables.mark_dirty(connection.target.group)
    return []


def _answer_not_run(tables: Any, request: RequestRow, detail: str) -> list[Any]:
    request_id = request.body.request_id
    answer = answers.refusal_answer(request_id, Outcome.NOT_RUN, RefusalKind.UNAVAILABLE, detail)
    return answers.end_request(tables, request, answer)


def _reached_without_confirmation(group: Any, count: int, field: str) -> float:
    return 1e18 if field == "confirmed_at" else REACHED_BY(group, count, field)


def _count_unmatched_log(group: Any, target: Any, status: Any, sent_at: float) -> None:
    acknowledgement.record_confirmation(target, status.log.position, sent_at)
    group.writable = group.writable or acknowledgement.marker_confirmed(group)


REACHED_BY = acknowledgement._reached_by
DISCOVERY_MODULE = "siskindale.pool.systems.discovery"
FAULTS: dict[str, tuple[Scenario, Any, str, Any]] = {
    "acknowledge-without-majority": (
        isolated_primary,
        acknowledgement,
        "majority",
        lambda voters: 1,
    ),
    "release-strict-reads-unconfirmed": (
        isolated_primary,
        acknowledgement,
        "_reached_by",
        _reached_without_confirmation,
    ),
    "count-unmatched-logs": (
        unmatched_replica,
        DISCOVERY_MODULE,
        "_apply_status_of_term",
        _count_unmatched_log,
    ),
    "sample-without-majority": (late_replica_answer, freshness, "majority", lambda voters: 1),
    "ignore-token": (lagging_replica, RequestRow, "token", LogPosition()),
    "retry-unkeyed-writes": (
        lost_answer,
        failure,
        "SAFE_TO_REPEAT_STAGES",
        failure.SAFE_TO_REPEAT_STAGES | {Stage.WRITE},
    ),
    "report-lost-as-not-run": (lost_answer, answers, "end_unknown", _answer_not_run),
    "ignore-keys": (
        repeated_key,
        intake,
        "_first_stage",
        lambda tables, request, now: Stage.WRITE,
    ),
    "reuse-unclear-connections": (
        lost_statement_answer,
        connections,
        "close",
        _release_instead_of_closing,
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_oracle_catches_fault(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an oracle that accepts a broken pool."""
    scenario, owner, attribute, value = FAULTS[name]
    world = World()
    scenario(world)
    world.finish()
    world = World()
    if isinstance(owner, str):
        monkeypatch.setattr(f"{owner}.{attribute}", value)
    else:
        monkeypatch.setattr(owner, attribute, value)
    with pytest.raises(ViolationError):
        scenario(world)
        world.finish()
