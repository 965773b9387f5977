"""Calls to targets and to the table service, each in a greenlet of its own."""

from collections.abc import Callable, Iterable

import gevent
from returns.result import Failure, Result, Success

from siskindale.context import Clock
from siskindale.controller.effects import CommitTerms, Operation, ReadTerms, TargetCall
from siskindale.controller.systems.terms import TABLE
from siskindale.models.bundle import Target
from siskindale.models.group import TargetStatus
from siskindale.store.interface import PlatformFailure, Row, TableService
from siskindale.targets.interface import (
    ControlClient,
    TargetDriver,
    TargetError,
    TargetFailure,
)

TargetAnswer = Callable[[TargetCall, TargetStatus | TargetError, float], None]
TermsAnswer = Callable[[str, Row | PlatformFailure | None], None]
CommitAnswer = Callable[[CommitTerms, PlatformFailure | None], None]


class Targets:
    """Keeps one control client for each target and reports every answer."""

    def __init__(self, driver: TargetDriver, clock: Clock, answer: TargetAnswer) -> None:
        self._driver = driver
        self._clock = clock
        self._answer = answer
        self._clients: dict[Target, ControlClient] = {}

    def call(self, call: TargetCall) -> None:
        """Starts a call."""
        gevent.spawn(self._run, call)

    def keep(self, targets: Iterable[Target]) -> None:
        """Closes the clients of all other targets."""
        kept = set(targets)
        for target in [t for t in self._clients if t not in kept]:
            self._clients.pop(target).close()

    def _run(self, call: TargetCall) -> None:
        sent_at = self._clock.monotonic()
        try:
            result = _operate(self._client(call.target), call)
        except Exception as error:
            # Without an answer the target would count as busy for ever.
            result = Failure(TargetError(TargetFailure.UNKNOWN, repr(error)))
        value = result.unwrap() if isinstance(result, Success) else result.failure()
        self._answer(call, value, sent_at)

    def _client(self, target: Target) -> ControlClient:
        if target not in self._clients:
            self._clients[target] = self._driver.control(target)
        return self._clients[target]


def _operate(client: ControlClient, call: TargetCall) -> Result[TargetStatus, TargetError]:
    match call.operation:
        case Operation.FENCE:
            return client.fence(call.term, call.timeout_s)
        case Operation.PROMOTE:
            return client.promote(call.term, call.voters, call.timeout_s)
        case Operation.WAIT:
            return client.wait_position(call.term, call.position, call.timeout_s)
        case Operation.FOLLOW if call.primary is not None:
            return client.follow(call.term, call.primary, call.timeout_s)
    return client.status(call.timeout_s)


class Store:
    """Reads and writes the rows of reserved terms."""

    def __init__(self, tables: TableService, on_read: TermsAnswer, on_commit: CommitAnswer) -> None:
        self._tables = tables
        self._on_read = on_read
        self._on_commit = on_commit

    def read(self, call: ReadTerms) -> None:
        """Starts a read."""
        gevent.spawn(self._read, call)

    def commit(self, call: CommitTerms) -> None:
        """Starts a commit."""
        gevent.spawn(self._commit, call)

    def _read(self, call: ReadTerms) -> None:
        try:
            found = self._tables.read(TABLE, call.group)
        except Exception:
            self._on_read(call.group, PlatformFailure.UNAVAILABLE)
            return
        self._on_read(
            call.group,
            found.unwrap() if isinstance(found, Success) else found.failure().kind,
        )

    def _commit(self, call: CommitTerms) -> None:
        try:
            done = self._tables.commit([call.condition], [call.write])
        except Exception:
            self._on_commit(call, PlatformFailure.UNKNOWN)
            return
        self._on_commit(call, done.failure().kind if isinstance(done, Failure) else None)
