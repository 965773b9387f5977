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
    """Error response of a target; `id` is the id of the batch, `step` the step that failed."""

    error: TargetFailure
    detail: str
    step: int | None = None
    id: int | None = None


@attrs.frozen
class BatchBody:
    """Response to a batch."""

    id: int
    results: tuple[StatementResult | None, ...]
    term: int
    at: LogPosition
    role: Role
    matched: bool


_ERROR_DECODER = msgspec.json.Decoder(ErrorBody)
_BATCH_DECODER = msgspec.json.Decoder(BatchBody)
_STATUS_DECODER = msgspec.json.Decoder(TargetStatus)


def encode_step(step: Step) -> list[Any]:
    """Returns a step as a list for JSON: its kind, then its arguments."""
    match step:
        case Begin(mode):
            return ["begin", mode]
        case Statement(sql, params):
            return ["statement", sql, params]
        case Commit():
            return ["commit"]
        case Rollback():
            return ["rollback"]


def _to_target_error(failure: HttpFailure) -> TargetError:
    kind = TargetFailure.UNKNOWN if failure.maybe_sent else TargetFailure.UNREACHABLE
    return TargetError(kind, failure.detail)


def _malformed_response(response: HttpResponse, reason: object) -> TargetError:
    return TargetError(TargetFailure.UNKNOWN, f"status {response.status}: {reason}")


class HttpDataConnection:
    """Data connection over HTTP; closed after each failure with an unknown outcome."""

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._batch_ids = itertools.count(1)

    @property
    def usable(self) -> bool:
        """Whether a batch may be sent: the connection is open and no answer is outstanding."""
        return self._connection.usable

    def run(self, steps: Sequence[Step], timeout_s: float) -> Result[BatchResult, TargetError]:
        """Runs the steps of a batch in order up to the first error."""
        batch_id = next(self._batch_ids)
        body = _ENCODER.encode({"id": batch_id, "steps": [encode_step(step) for step in steps]})
        answer = self._connection.request("POST", "/run", body, timeout_s)
        if isinstance(answer, Failure):
            return Failure(_to_target_error(answer.failure()))
        result = _decode_batch(answer.unwrap(), batch_id)
        if isinstance(result, Failure) and result.failure().kind is TargetFailure.UNKNOWN:
            self.close()
        return result

    def close(self) -> None:
        """Closes the connection; the target rolls back the open transaction, if any."""
        self._connection.close()


def _decode_batch(response: HttpResponse, batch_id: int) -> Result[BatchResult, TargetError]:
    try:
        if response.status == 200:
            body = _BATCH_DECODER.decode(response.body)
            if body.id != batch_id:
                return Failure(_malformed_response(response, "answer to another batch"))
            return Success(BatchResult(body.results, body.term, body.at, body.role, body.matched))
        refusal = _ERROR_DECODER.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(_malformed_response(response, error))
    if refusal.id != batch_id:
        return Failure(_malformed_response(response, "refusal of another batch"))
    return Failure(TargetError(refusal.error, refusal.detail, refusal.step))


class HttpControlClient:
    """Control client over a few persistent connections."""

    def __init__(self, client: HttpClient, target: str) -> None:
        self._client = client
        self._target = target

    def status(self, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Returns the target's status."""
        return self._request_status("/status", {}, timeout_s)

    def wait_position(
        self, term: int, position: int, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Returns the status once the matched log of `term` holds `position`.

        The target is asked to answer shortly before the timeout, since an answer without the
        position contains more information than a timeout.
        """
        wait_ms = int(timeout_s * 1000 * 0.8)
        request = {"term": term, "position": position, "wait_ms": wait_ms}
        return self._request_status("/wait_position", request, timeout_s)

    def fence(self, term: int, timeout_s: float) -> Result[TargetStatus, TargetError]:
        """Fences the target in a term above its own; fails with `TERM` if it is not higher."""
        return self._request_status("/fence", {"term": term}, timeout_s)

    def promote(
        self, term: int, voters: tuple[str, ...], timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes a target that is fenced at exactly `term` the primary and writes the marker."""
        return self._request_status("/promote", {"term": term, "voters": voters}, timeout_s)

    def follow(
        self, term: int, primary: Target, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        """Makes the target a replica of `primary` in its own term or a newer one."""
        request = {"term": term, "primary": primary.name, "control": primary.control}
        return self._request_status("/follow", request, timeout_s)

    def close(self) -> None:
        """Closes all connections."""
        self._client.close()

    def _request_status(
        self, path: str, request: Any, timeout_s: float
    ) -> Result[TargetStatus, TargetError]:
        answer = self._client.request("POST", path, _ENCODER.encode(request), timeout_s)
        if isinstance(answer, Failure):
            return Failure(_to_target_error(answer.failure()))
        return _decode_status(answer.unwrap(), self._target)


def _decode_status(response: HttpResponse, target: str) -> Result[TargetStatus, TargetError]:
    try:
        if response.status == 200:
            status = _STATUS_DECODER.decode(response.body)
            if status.name != target:
                return Failure(_malformed_response(response, f"status of {status.name!r}"))
            return Success(status)
        refusal = _ERROR_DECODER.decode(response.body)
    except msgspec.MsgspecError as error:
        return Failure(_malformed_response(response, error))
    return Failure(TargetError(refusal.error, refusal.detail))


@TARGET_DRIVERS.register("http")
class HttpTargets:
    """Opens connections to targets that speak JSON over HTTP/1.1."""

    def __init__(self, client_kind: str = "", client_name: str = "") -> None:
        self._headers = identity_headers(client_kind, client_name)

    def connect(self, target: Target, timeout_s: float) -> Result[DataConnection, TargetError]:
        """Opens a data connection; this takes the target's connection time."""
        result = HttpConnection.connect(
            target.data, self._headers, timeout_s, TrafficCounters(TrafficPurpose.TARGET_DATA)
        )
        if isinstance(result, Failure):
            return Failure(_to_target_error(result.failure()))
        connection = result.unwrap()
        answer = connection.request("POST", "/open", b"{}", timeout_s)
        refusal = _open_error(answer)
        if refusal is not None:
            connection.close()
            return Failure(refusal)
        return Success(HttpDataConnection(connection))

    def control(self, target: Target) -> ControlClient:
        """Returns a control client, which connects on first use."""
        return HttpControlClient(
            HttpClient(target.control, self._headers, TrafficPurpose.TARGET_CONTROL), target.name
        )


def _open_error(answer: Result[HttpResponse, HttpFailure]) -> TargetError | None:
    """Returns the error of an open request, None if it succeeded.

    No statement has run yet, so the outcome is never `UNKNOWN`.
    """
    if isinstance(answer, Failure):
        return TargetError(TargetFailure.UNREACHABLE, answer.failure().detail)
    response = answer.unwrap()
    if response.status == 200:
        return None
    try:
        refusal = _ERROR_DECODER.decode(response.body)
    except msgspec.MsgspecError as error:
        return TargetError(TargetFailure.UNREACHABLE, f"status {response.status}: {error}")
    return TargetError(refusal.error, refusal.detail)
