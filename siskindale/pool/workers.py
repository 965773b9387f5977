"""Workers: greenlets that execute effects on targets and report what came of them."""

from collections.abc import Callable
from typing import Any

import gevent
from returns.result import Failure, Result

from siskindale.context import Clock
from siskindale.models.address import Address
from siskindale.models.bundle import Target
from siskindale.pool.effects import (
    AskStatus,
    BatchEnded,
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    Effect,
    Event,
    OpenConnection,
    RunBatch,
    StatusEnded,
    WaitPosition,
)
from siskindale.runtime.logs import logger
from siskindale.targets.interface import (
    ControlClient,
    TargetDriver,
    TargetError,
    TargetFailure,
)

CONNECT_TIMEOUT_S = 1.0

Report = Callable[[Event], None]


class Workers:
    """Runs each effect in a greenlet of its own; a connection has at most one at a time."""

    def __init__(self, driver: TargetDriver, clock: Clock, report: Report) -> None:
        self._driver = driver
        self._clock = clock
        self._report = report
        self._controls: dict[tuple[str, Address], ControlClient] = {}
        self._execute: dict[type, Callable[[Any], None]] = {
            RunBatch: self._run,
            OpenConnection: self._open,
            AskStatus: self._ask,
            WaitPosition: self._wait,
        }

    def execute(self, effect: Effect) -> None:
        """Starts an effect on a target."""
        if isinstance(effect, CloseConnection):
            effect.connection.handle.close()
            return
        gevent.spawn(self._execute[type(effect)], effect)

    def keep_controls(self, targets: list[Target]) -> None:
        """Closes the control clients of all other targets."""
        wanted = {(target.name, target.control) for target in targets}
        for key in [key for key in self._controls if key not in wanted]:
            self._controls.pop(key).close()

    def _run(self, effect: RunBatch) -> None:
        handle = effect.connection.handle
        outcome = _guarded(lambda: handle.run(effect.steps, effect.timeout_s))
        self._report(BatchEnded(effect.connection, outcome))

    def _open(self, effect: OpenConnection) -> None:
        target = effect.target.definition
        timeout = CONNECT_TIMEOUT_S + target.connect_ms / 1000
        opened = _guarded(lambda: self._driver.connect(target, timeout))
        if isinstance(opened, Failure):
            self._report(ConnectionFailed(effect.target, opened.failure()))
        else:
            self._report(ConnectionOpened(effect.target, opened.unwrap()))

    def _ask(self, effect: AskStatus) -> None:
        client, sent_at = self._control(effect.target.definition), self._clock.monotonic()
        outcome = _guarded(lambda: client.status(effect.timeout_s))
        self._report(StatusEnded(effect.target, sent_at, effect.purpose, outcome))

    def _wait(self, effect: WaitPosition) -> None:
        client, sent_at = self._control(effect.target.definition), self._clock.monotonic()
        outcome = _guarded(
            lambda: client.wait_position(effect.term, effect.position, effect.timeout_s)
        )
        self._report(StatusEnded(effect.target, sent_at, effect.purpose, outcome))

    def _control(self, target: Target) -> ControlClient:
        key = (target.name, target.control)
        if key not in self._controls:
            self._controls[key] = self._driver.control(target)
        return self._controls[key]


def _guarded(call: Callable[[], Result[Any, TargetError]]) -> Result[Any, TargetError]:
    """Turns a fault of a driver into an unknown outcome, so that no request waits forever."""
    try:
        return call()
    except Exception as error:
        logger().exception("driver-failed")
        return Failure(TargetError(TargetFailure.UNKNOWN, repr(error)))
