"""Connections: the pool's share, opening in advance, reservation and closing."""

from random import Random

from returns.result import Success

from siskindale.pool.effects import (
    CloseConnection,
    ConnectionFailed,
    ConnectionLost,
    ConnectionOpened,
    Effect,
    OpenConnection,
)
from siskindale.pool.systems import timers
from siskindale.pool.tables import (
    ConnectionRow,
    GroupRow,
    Lane,
    RequestRow,
    Tables,
    TargetRow,
    TimerKind,
)
from siskindale.targets.interface import TargetFailure

MAX_OPENING = 4
OPEN_RETRY_MIN_S = 0.05
OPEN_RETRY_MAX_S = 1.0
# Pools that hand over free their connections within moments.
LIMIT_RETRY_S = 0.2
# A leaving primary works on until the planned promotion. The directory may notice the leaving only
# after 2 s, and the target must get no new work after 3 s.
LEAVING_PRIMARY_S = 0.8
SERVICE_WEIGHT = 0.1
# After a hang the expected wait has to fall quickly, or requests are refused without need.
RECOVERY_WEIGHT = 0.3


def share(limit: int, pools: int, rank: int) -> int:
    """Returns the part of a limit that the pool of this rank uses; never none.

    The target enforces the limit itself, so a pool without a share may still try one.
    """
    return max(1, limit // pools + (1 if rank < limit % pools else 0))


def allowed(tables: Tables, target: TargetRow, now: float) -> bool:
    """Whether new work may go to a target; a leaving one gets none, a leaving primary soon."""
    if target.leaving_since is None:
        return True
    if tables.degraded or target.group.primary is not target:
        return False
    return now - target.leaving_since < LEAVING_PRIMARY_S


def ready(target: TargetRow) -> bool:
    """Whether the target has a free slot and an idle connection."""
    return bool(target.idle) and target.running < target.slots


def ready_for_read(target: TargetRow) -> bool:
    """Whether the target can take a read; one may run beside writes that fill all slots.

    Writes may wait for the lock of an idle transaction, which would stop all reads as well.
    """
    return ready(target) or (bool(target.idle) and not target.reading)


def take(target: TargetRow) -> ConnectionRow:
    """Removes a connection from the idle ones, for the start of a batch."""
    return target.idle.pop()


def occupy(connection: ConnectionRow, request: RequestRow) -> None:
    """Marks a batch of a request as running on a connection."""
    connection.busy = True
    connection.request = request
    request.connection = connection
    connection.target.running += 1
    connection.target.reading += request.lane is not Lane.WRITE


def finished(connection: ConnectionRow, now: float) -> None:
    """Marks the batch as answered; the connection stays reserved."""
    target, request = connection.target, connection.request
    _vacate(connection)
    if request is not None:
        change = now - request.since - target.service_s
        target.service_s += change * (RECOVERY_WEIGHT if change < 0 else SERVICE_WEIGHT)


def _vacate(connection: ConnectionRow) -> None:
    target, request = connection.target, connection.request
    connection.busy = False
    target.running -= 1
    target.reading -= request is not None and request.lane is not Lane.WRITE


def release(tables: Tables, connection: ConnectionRow) -> list[Effect]:
    """Returns a connection outside of a transaction to the idle ones.

    Only answered connections come here; whether the target has closed one is found out when it
    is used next, because asking each time costs as much as a part of the request.
    """
    connection.request = None
    connection.transaction = None
    if connection.closed:
        return []
    target = connection.target
    if target.group.targets.get(target.name) is not target:
        return close(tables, connection)
    target.idle.append(connection)
    tables.touch(target.group)
    return []


def lost(tables: Tables, event: ConnectionLost) -> list[Effect]:
    """Closes an idle connection that the target has closed, so that another one is opened."""
    connection = event.connection
    idle = not connection.busy and connection.transaction is None
    return close(tables, connection) if idle else []


def close(tables: Tables, connection: ConnectionRow) -> list[Effect]:
    """Closes a connection in whatever state; the target rolls an open transaction back."""
    if connection.closed:
        return []
    target = connection.target
    if connection.busy:
        _vacate(connection)
    connection.closed = True
    connection.request = None
    target.open.pop(connection.number, None)
    tables.connections.pop(connection.number, None)
    if connection in target.idle:
        target.idle.remove(connection)
    tables.touch(target.group)
    return [CloseConnection(connection)]


def opened(tables: Tables, event: ConnectionOpened) -> list[Effect]:
    """Adds a connection that was opened."""
    target = event.target
    target.opening -= 1
    target.failures = 0
    connection = ConnectionRow(tables.next_number(), target, event.handle)
    target.open[connection.number] = connection
    tables.connections[connection.number] = connection
    if target.group.targets.get(target.name) is not target:
        return close(tables, connection)
    target.idle.append(connection)
    tables.touch(target.group)
    return []


def failed(tables: Tables, event: ConnectionFailed, now: float, random: Random) -> list[Effect]:
    """Waits before the next attempt; longer where other pools hold the connections."""
    target = event.target
    target.opening -= 1
    target.failures += 1
    delay = min(OPEN_RETRY_MAX_S, OPEN_RETRY_MIN_S * 2 ** min(target.failures, 8))
    if event.error.kind is TargetFailure.LIMIT:
        delay = LIMIT_RETRY_S
    target.open_after = now + delay * random.uniform(0.5, 1.0)
    timers.schedule(tables, target.open_after, TimerKind.OPEN, target.group)
    return []


def maintain(tables: Tables, group: GroupRow, now: float) -> list[Effect]:
    """Opens missing connections in advance and closes idle ones that are not wanted."""
    effects: list[Effect] = []
    queued = any(queue.live for lane in group.queues.values() for queue in lane.values())
    for target in group.targets.values():
        wanted = target.connections if allowed(tables, target, now) else 0
        if tables.draining and not queued:
            # The pool that takes over needs them; what is in progress keeps its own.
            wanted = 0
        surplus = len(target.open) - wanted
        while surplus > 0 and target.idle:
            effects += close(tables, target.idle[-1])
            surplus -= 1
        if now < target.open_after:
            continue
        missing = min(-surplus - target.opening, MAX_OPENING - target.opening)
        for _ in range(missing):
            target.opening += 1
            effects.append(OpenConnection(target))
    return effects


def success(outcome: object) -> bool:
    """Whether a driver's result is a success."""
    return isinstance(outcome, Success)


def release_from(tables: Tables, request: RequestRow) -> list[Effect]:
    """Takes a request's connection back, if it has one."""
    connection, request.connection = request.connection, None
    return release(tables, connection) if connection is not None else []
