"""Target driver for targets that speak JSON over HTTP/1.1."""

import itertools
from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
from returns.result import Failure, Result, Success

from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role, TargetStatus
from siskindale.models.wire import StatementResult
from siskindale.targets.interface import (
    TARGET_DRIVERS,
    BatchResult,
    Begin,
    Commit,
    ControlClient,
    DataConnection,
    Rollback,
    Statement,
    Step,
    TargetError,
    TargetFailure,
)
from siskindale.transport.http import (
    HttpClient,
    HttpConnection,
    HttpFailure,
    HttpResponse,
    identity_headers,
)
from siskindale.transport.metrics import TrafficCounters, TrafficPurpose

_ENCODER = msgspec.json.Encoder()


@attrs.frozen
class ErrorBody:
    """Refusal of a target; `id` repeats the id of a batch."""

    error: TargetFailure
    detail: str
    step: int | None = None
    id: int | None = None


@attrs.frozen
class BatchBody:
    """Answer to a batch."""

    id: int
    results: tuple[StatementResult | None, ...]
    term: int
    at: LogPosition
    role: Role
    matched: bool


_ERRORS = msgspec.json.Decoder(ErrorBody)
_BATCHES = msgspec.json.Decoder(BatchBody)
_STATUSES = msgspec.json.Decoder(TargetStatus)


def encode_step(step: Step) -> list[Any]:
    """Returns a step as a JSON array: its kind and its arguments."""
    match step:
        case Begin(mode):
            return ["begin", mode]
        case Statement(sql, params):
            return ["statement", sql, params]
        case Commit():
            return ["commit"]
        case Rollback():
            return ["rollback"]


def _failed(failure: HttpFailure) -> TargetError:
    kind = TargetFailure.UNKNOWN if failure.maybe_sent else TargetFailure.UNREACHABLE
    return TargetError(kind, failure.detail)


def _malformed(response: HttpResponse, reason: object) -> TargetError:
    return TargetError(TargetFailure.UNKNOWN, f"status {response.status}: {reason}")


class HttpDataConnection:
    """Data connection; closed after every failure whose outcome is unknown."""

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._ids = itertools.count(1)

    @property
    def usable(self) -> bool:
        """Whether further batches may be sent: open, and no answer outstanding."""
        return self._connection.usable

    def run(self, steps: Sequence[Step], timeout_s: float) -> Result[BatchResult, TargetError]:
        """Runs a batch in order up to the first error."""
        batch_id = next(self._ids)
        body = _ENCODER.encode({"id": batch_id, "steps": [encode_step(step) for step in steps]})
        answer = self._connection.request("POST", "/run", body, timeout_s)
        if isinstance(answer, Failure):
            return Failure(_failed(answer.failure()))
        result = _batch(answer.unwrap(), batch_id)
        if isinstance(result, Failure) and result.failure().kind is TargetFailure.UNKNOWN:
            self.close()
        return result

    def close(self) -> None:
        """Closes the connection; the target rolls back an open transaction."""
        self._connection.close()


def _batch(response: HttpResponse, batch_id: int) -> Result[BatchResult, TargetError]:
    try:
        if response.status == 200:
            body = _BATCHES.decode(response.body)
            if body.id != batch_id:
                return Failure(_malformed(response, "answer to another batch"))
            return Success(BatchResult(body.results, body.term, body.at, body.role, body.matched))
        refusal = _ERRORS.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(_malformed(response, error))
    if refusal.id != batch_id:
        return Failure(_malformed(response, "refusal of another batch"))
    return Failure(TargetError(refusal.error, refusal.detail, refusal.step))


class HttpControlClient:
    """Control client over a few kept connections."""

    def __init__(self, client: HttpClient, target: str) -> None:
        self._client = client
        self._target = target

    def status(self, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Returns the target's status."""
        return self._call("/status", {}, timeout_s)

    def wait_position(
        self, term: int, position: int, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Returns the status when the matched log of `term` holds `position`.

        The target is asked to answer a little before the timeout: an answer without the position
        says more than a timeout does.
        """
        wait_ms = int(timeout_s * 1000 * 0.8)
        request = {"term": term, "position": position, "wait_ms": wait_ms}
        return self._call("/wait_position", request, timeout_s)

    def fence(self, term: int, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Moves the target to a higher term in which it is fenced; else fails with `TERM`."""
        return self._call("/fence", {"term": term}, timeout_s)

    def promote(
        self, term: int, voters: tuple[str, ...], timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes a target that is fenced at exactly `term` the primary and writes the marker."""
        return self._call("/promote", {"term": term, "voters": voters}, timeout_s)

    def follow(
        self, term: int, primary: Target, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes the target a replica of `primary` in its own term or a newer one."""
        request = {"term": term, "primary": primary.name, "control": primary.control}
        return self._call("/follow", request, timeout_s)

    def close(self) -> None:
        """Closes the kept connections."""
        self._client.close()

    def _call(self, path: str, request: Any, timeout_s: float) -> Result[TargetStatus, TargetError]:
        answer = self._client.request("POST", path, _ENCODER.encode(request), timeout_s)
        if isinstance(answer, Failure):
            return Failure(_failed(answer.failure()))
        return _status(answer.unwrap(), self._target)


def _status(response: HttpResponse, target: str) -> Result[TargetStatus, TargetError]:
    try:
        if response.status == 200:
            status = _STATUSES.decode(response.body)
            if status.name != target:
                return Failure(_malformed(response, f"status of {status.name!r}"))
            return Success(status)
        refusal = _ERRORS.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(_malformed(response, error))
    return Failure(TargetError(refusal.error, refusal.detail))


@TARGET_DRIVERS.register("http")
class HttpTargets:
    """Opens connections to targets that speak JSON over HTTP/1.1."""

    def __init__(self, client_kind: str = "", client_name: str = "") -> None:
        self._headers = identity_headers(client_kind, client_name)

    def connect(self, target: Target, timeout_s: float) -> Result[DataConnection, TargetError]:
        """Opens a data connection, which takes the target's connection time."""
        connected = HttpConnection.connect(
            target.data, self._headers, timeout_s, TrafficCounters(TrafficPurpose.TARGET_DATA)
        )
        if isinstance(connected, Failure):
            return Failure(_failed(connected.failure()))
        connection = connected.unwrap()
        answer = connection.request("POST", "/open", b"{}", timeout_s)
        refusal = _refused(answer)
        if refusal is not None:
            connection.close()
            return Failure(refusal)
        return Success(HttpDataConnection(connection))

    def control(self, target: Target) -> ControlClient:
        """Returns a control client; it connects when first used."""
        return HttpControlClient(
            HttpClient(target.control, self._headers, TrafficPurpose.TARGET_CONTROL), target.name
        )


def _refused(answer: Result[HttpResponse, HttpFailure]) -> TargetError | None:
    """Returns the error of an opening; no statement has run, so it is never unknown."""
    if isinstance(answer, Failure):
        return TargetError(TargetFailure.UNREACHABLE, answer.failure().detail)
    response = answer.unwrap()
    if response.status == 200:
        return None
    try:
        refusal = _ERRORS.decode(response.body)
    except msgspec.MsgspecError as error:
        return TargetError(TargetFailure.UNREACHABLE, f"status {response.status}: {error}")
    return TargetError(refusal.error, refusal.detail)
