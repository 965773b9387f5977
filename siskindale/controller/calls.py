"""Calls to targets and to the table service, each in its own greenlet."""

from collections.abc import Callable, Iterable

import gevent
from returns.result import Failure, Result, Success

from siskindale.context import Clock
from siskindale.controller.effects import CommitTerms, Operation, ReadTerms, TargetCall
from siskindale.controller.systems.terms import TERMS_TABLE
from siskindale.models.bundle import Target
from siskindale.models.group import TargetStatus
from siskindale.store.interface import PlatformFailure, Row, TableService
from siskindale.targets.interface import (
    ControlClient,
    TargetDriver,
    TargetError,
    TargetFailure,
)

OnTargetAnswer = Callable[[TargetCall, TargetStatus | TargetError, float], None]
OnTermsRead = Callable[[str, Row | PlatformFailure | None], None]
OnTermsCommit = Callable[[CommitTerms, PlatformFailure | None], None]


class TargetCaller:
    """Calls targets with one control client each and passes on every answer or failure."""

    def __init__(self, driver: TargetDriver, clock: Clock, on_answer: OnTargetAnswer) -> None:
        self._driver = driver
        self._clock = clock
        self._on_answer = on_answer
        self._clients: dict[Target, ControlClient] = {}

    def call(self, call: TargetCall) -> None:
        """Starts a call; does not block."""
        gevent.spawn(self._run, call)

    def close_clients_except(self, targets: Iterable[Target]) -> None:
        """Closes the clients of all targets other than these."""
        kept = set(targets)
        for target in [t for t in self._clients if t not in kept]:
            self._clients.pop(target).close()

    def _run(self, call: TargetCall) -> None:
        sent_at = self._clock.monotonic()
        try:
            result = _execute(self._client(call.target), call)
        except Exception as error:
            # Without an answer the call would count as in flight forever.
            result = Failure(TargetError(TargetFailure.UNKNOWN, repr(error)))
        value = result.unwrap() if isinstance(result, Success) else result.failure()
        self._on_answer(call, value, sent_at)

    def _client(self, target: Target) -> ControlClient:
        if target not in self._clients:
            self._clients[target] = self._driver.control(target)
        return self._clients[target]


def _execute(client: ControlClient, call: TargetCall) -> Result[TargetStatus, TargetError]:
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


class TermStore:
    """Reads and writes the rows of reserved terms and passes on every answer or failure."""

    def __init__(
        self, table_service: TableService, on_read: OnTermsRead, on_commit: OnTermsCommit
    ) -> None:
        self._table_service = table_service
        self._on_terms_read = on_read
        self._on_terms_commit = on_commit

    def read(self, call: ReadTerms) -> None:
        """Starts a read; does not block."""
        gevent.spawn(self._read, call)

    def commit(self, call: CommitTerms) -> None:
        """Starts a commit; does not block."""
        gevent.spawn(self._commit, call)

    def _read(self, call: ReadTerms) -> None:
        try:
            result = self._table_service.read(TERMS_TABLE, call.group)
        except Exception:
            self._on_terms_read(call.group, PlatformFailure.UNAVAILABLE)
            return
        self._on_terms_read(
            call.group,
            result.unwrap() if isinstance(result, Success) else result.failure().kind,
        )

    def _commit(self, call: CommitTerms) -> None:
        try:
            done = self._table_service.commit([call.condition], [call.write])
        except Exception:
            self._on_terms_commit(call, PlatformFailure.UNKNOWN)
            return
        self._on_terms_commit(call, done.failure().kind if isinstance(done, Failure) else None)
