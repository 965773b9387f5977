"""Workers: greenlets that execute effects on targets and report the outcome as events."""

from collections.abc import Callable
from typing import Any

import gevent
from returns.result import Failure, Result

from siskindale.context import Clock
from siskindale.models.address import Address
from siskindale.models.bundle import Target
from siskindale.pool.effects import (
    BatchCompleted,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    Effect,
    Event,
    OpenConnection,
    RequestStatus,
    RunBatch,
    StatusCompleted,
    WaitForPosition,
)
from siskindale.runtime.logs import logger
from siskindale.targets.interface import (
    ControlClient,
    TargetDriver,
    TargetError,
    TargetFailure,
)

CONNECT_TIMEOUT_S = 1.0

EventHandler = Callable[[Event], None]


class Workers:
    """Runs each effect in its own greenlet; a connection has at most one effect at a time."""

    def __init__(self, driver: TargetDriver, clock: Clock, report: EventHandler) -> None:
        self._driver = driver
        self._clock = clock
        self._report = report
        self._control_clients: dict[tuple[str, Address], ControlClient] = {}
        self._executors: dict[type, Callable[[Any], None]] = {
            RunBatch: self._run_batch,
            OpenConnection: self._open_connection,
            RequestStatus: self._request_status,
            WaitForPosition: self._wait_for_position,
        }

    def execute(self, effect: Effect) -> None:
        """Executes an effect on a target, in a greenlet unless it closes a connection."""
        if isinstance(effect, CloseConnection):
            effect.connection.handle.close()
            return
        gevent.spawn(self._executors[type(effect)], effect)

    def close_other_control_clients(self, targets: list[Target]) -> None:
        """Closes the control clients of all targets except the given ones."""
        wanted = {(target.name, target.control) for target in targets}
        for key in [key for key in self._control_clients if key not in wanted]:
            self._control_clients.pop(key).close()

    def _run_batch(self, effect: RunBatch) -> None:
        handle = effect.connection.handle
        outcome = _run_guarded(lambda: handle.run(effect.steps, effect.timeout_s))
        self._report(BatchCompleted(effect.connection, outcome))

    def _open_connection(self, effect: OpenConnection) -> None:
        target = effect.target.definition
        timeout = CONNECT_TIMEOUT_S + target.connect_ms / 1000
        opened = _run_guarded(lambda: self._driver.connect(target, timeout))
        if isinstance(opened, Failure):
            self._report(ConnectionFailed(effect.target, opened.failure()))
        else:
            self._report(ConnectionOpened(effect.target, opened.unwrap()))

    def _request_status(self, effect: RequestStatus) -> None:
        client, sent_at = self._control_client(effect.target.definition), self._clock.monotonic()
        outcome = _run_guarded(lambda: client.status(effect.timeout_s))
        self._report(StatusCompleted(effect.target, sent_at, effect.purpose, outcome))

    def _wait_for_position(self, effect: WaitForPosition) -> None:
        client, sent_at = self._control_client(effect.target.definition), self._clock.monotonic()
        outcome = _run_guarded(
            lambda: client.wait_position(effect.term, effect.position, effect.timeout_s)
        )
        self._report(StatusCompleted(effect.target, sent_at, effect.purpose, outcome))

    def _control_client(self, target: Target) -> ControlClient:
        key = (target.name, target.control)
        if key not in self._control_clients:
            self._control_clients[key] = self._driver.control(target)
        return self._control_clients[key]


def _run_guarded(call: Callable[[], Result[Any, TargetError]]) -> Result[Any, TargetError]:
    """Turns an exception of a driver into an unknown outcome, so that no request waits forever."""
    try:
        return call()
    except Exception as error:
        logger().exception("driver-failed")
        return Failure(TargetError(TargetFailure.UNKNOWN, repr(error)))
