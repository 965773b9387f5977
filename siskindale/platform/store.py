"""Client of the platform's store: versioned tables whose changes can be awaited."""

import base64
import json
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.store.interface import (
    Changes,
    Condition,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from siskindale.store.versions import (
    NO_VERSION,
    EraTracker,
    commit_of,
    era_of,
    version_in_era,
)
from siskindale.transport.http import HttpClient, HttpResponse
from siskindale.transport.metrics import TrafficPurpose

# A call to the store takes about 4 ms; the timeout allows for a store that is 60 times slower.
CALL_TIMEOUT_S = 1.0
# Connecting takes one round trip. An attempt that began during an outage must end soon after it.
CONNECT_TIMEOUT_S = 0.5
# Added to the time for which a watch may wait.
WATCH_TIMEOUT_MARGIN_S = 0.6
PAGE_ROWS = 500

_FAILURE_BY_STATUS = {
    404: PlatformFailure.UNAVAILABLE,
    410: PlatformFailure.HISTORY_LOST,
    412: PlatformFailure.CONFLICT,
    429: PlatformFailure.UNAVAILABLE,
    503: PlatformFailure.UNAVAILABLE,
}


@attrs.frozen
class _StoreResponse:
    """Body of a successful response, and the era in which the store gave it."""

    body: dict[str, Any]
    era: int


class PlatformStore:
    """Rows of the platform's store; values are JSON objects.

    Versions include the era of the store, so that they keep their order across restorations.
    """

    def __init__(self, address: Address) -> None:
        headers = {"Content-Type": "application/json"}
        self._client = HttpClient(
            address, headers, TrafficPurpose.PLATFORM, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._eras = EraTracker()

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era when the store was restored from an older copy."""
        self._eras.on_restored(listener)

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        """Returns the current row, None if it does not exist."""
        # `target` is the exclusive end of the range of keys and has nothing to do with targets.
        query = {"table": table, "part": "", "from": key, "target": key + "\x00", "limit": 1}
        found = self._get("/v1/rows-get", query, CALL_TIMEOUT_S)
        return found.map(lambda changes: changes.rows[0] if changes.rows else None)

    def snapshot(self, table: str) -> Result[Changes, PlatformError]:
        """Returns all rows of a table as of one version."""
        query: dict[str, Any] = {"table": table, "part": "", "limit": PAGE_ROWS}
        rows: list[Row] = []
        version = NO_VERSION
        while True:
            called = self._call("GET", f"/v1/rows-get?{urlencode(query)}", b"", CALL_TIMEOUT_S)
            decoded = called.bind(lambda response: _decode_changes(table, response))
            if isinstance(decoded, Failure):
                return decoded
            page = decoded.unwrap()
            if version and era_of(version) != era_of(page.version):
                return Failure(_history_lost("the store was restored between two pages"))
            rows += page.rows
            # A watch from the version of the first page returns what changed between two pages.
            version = version or page.version
            if not called.unwrap().body.get("has_more") or not page.rows:
                return Success(Changes(tuple(rows), version))
            query["from"] = rows[-1].key + "\x00"

    def watch(self, table: str, after: int, wait_s: float) -> Result[Changes, PlatformError]:
        """Waits up to `wait_s` for changes; `HISTORY_LOST` calls for a new snapshot."""
        if self._eras.has_ended(after):
            return Failure(_history_lost("the store was restored"))
        query = {"table": table, "after": commit_of(after), "wait_ms": int(wait_s * 1000)}
        found = self._get("/v1/rows-feed", query, wait_s + WATCH_TIMEOUT_MARGIN_S)
        # Commits of the new era up to `after` are missing in the response.
        if isinstance(found, Success) and self._eras.has_ended(after):
            return Failure(_history_lost("the store was restored"))
        return found

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        if any(self._eras.has_ended(row.version) for row in conditions):
            # The store may have given out the number of the commit a second time.
            return Failure(PlatformError(PlatformFailure.CONFLICT, "the store was restored"))
        body = {
            "expected": [
                {**_encode_key(row.table, row.key), "ver": commit_of(row.version)}
                for row in conditions
            ],
            "put_rows": [
                {**_encode_key(row.table, row.key), "value": _encode_value(row.value)}
                for row in writes
                if row.value is not None
            ],
            "remove": [_encode_key(row.table, row.key) for row in writes if row.value is None],
        }
        response = self._call("POST", "/v1/rows-tx", json.dumps(body).encode(), CALL_TIMEOUT_S)
        return response.bind(_decode_version)

    def _get(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> Result[Changes, PlatformError]:
        called = self._call("GET", f"{path}?{urlencode(query)}", b"", timeout_s)
        return called.bind(lambda response: _decode_changes(str(query["table"]), response))

    def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[_StoreResponse, PlatformError]:
        result = self._client.request(method, path, body, timeout_s)
        if isinstance(result, Failure):
            failure = result.failure()
            kind = PlatformFailure.UNKNOWN if failure.maybe_sent else PlatformFailure.UNAVAILABLE
            return Failure(PlatformError(kind, failure.detail))
        response = result.unwrap()
        era = self._eras.note_response(response.headers)
        if era is None:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, "response of an ended era"))
        if response.status == 200:
            return _decode_body(response).map(lambda body: _StoreResponse(body, era))
        kind = _FAILURE_BY_STATUS.get(response.status, PlatformFailure.UNKNOWN)
        return Failure(PlatformError(kind, f"{path.partition('?')[0]}: status {response.status}"))


def _encode_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _decode_body(response: HttpResponse) -> Result[dict[str, Any], PlatformError]:
    try:
        body = json.loads(response.body)
    except (ValueError, RecursionError) as error:
        return Failure(PlatformError(PlatformFailure.UNKNOWN, f"malformed response: {error}"))
    if not isinstance(body, dict):
        return Failure(PlatformError(PlatformFailure.UNKNOWN, "response is not an object"))
    return Success(body)


def _history_lost(detail: str) -> PlatformError:
    return PlatformError(PlatformFailure.HISTORY_LOST, detail)


def _decode_version(response: _StoreResponse) -> Result[int, PlatformError]:
    commit = response.body.get("ver")
    if type(commit) is int:
        return Success(version_in_era(response.era, commit))
    return Failure(PlatformError(PlatformFailure.UNKNOWN, "response has no version"))


def _decode_changes(table: str, response: _StoreResponse) -> Result[Changes, PlatformError]:
    try:
        rows = [_decode_row(table, response.era, row) for row in response.body.get("rows") or ()]
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        return Failure(PlatformError(PlatformFailure.UNKNOWN, f"malformed rows: {error!r}"))
    return _decode_version(response).map(lambda version: Changes(tuple(rows), version))


def _decode_row(table: str, era: int, raw: dict[str, Any]) -> Row:
    deleted = bool(raw.get("deleted"))
    value = {} if deleted else _decode_value(raw.get("value"))
    version = version_in_era(era, int(raw.get("ver") or 0))
    return Row(table, str(raw.get("key")), version, value, deleted)


def _decode_value(encoded: Any) -> dict[str, Any]:
    """Returns the value of a row, an empty object if it cannot be decoded.

    Other writers may leave any bytes in a row; the decoders of entries report the missing fields.
    """
    try:
        value = json.loads(base64.b64decode(encoded, validate=True))
    except (ValueError, TypeError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
