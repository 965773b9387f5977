"""Client of the platform's store: versioned tables whose changes can be awaited."""

import base64
import json
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

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
from siskindale.transport.http import HttpClient, HttpResponse
from siskindale.transport.metrics import TrafficPurpose

# A call to the store takes about 4 ms; the timeout allows for a store that is 60 times slower.
CALL_TIMEOUT_S = 1.0
# Connecting takes one round trip. An attempt that began during an outage must end soon after it.
CONNECT_TIMEOUT_S = 0.5
# Added to the time for which a watch may wait.
WATCH_TIMEOUT_MARGIN_S = 0.6
PAGE_ROWS = 500
# Rises by one each time the store is restored from an older copy.
ERA_HEADER = "store-era"

_FAILURE_BY_STATUS = {
    404: PlatformFailure.UNAVAILABLE,
    410: PlatformFailure.HISTORY_LOST,
    412: PlatformFailure.CONFLICT,
    429: PlatformFailure.UNAVAILABLE,
    503: PlatformFailure.UNAVAILABLE,
}


class PlatformStore:
    """Rows of the platform's store; values are JSON objects."""

    def __init__(self, address: Address) -> None:
        headers = {"Content-Type": "application/json"}
        self._client = HttpClient(
            address, headers, TrafficPurpose.PLATFORM, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._era: int | None = None
        self._restoration_listeners: list[Callable[[int], None]] = []

    def on_restored(self, listener: Callable[[int], None]) -> None:
        """Calls `listener` with the new era when the store was restored from an older copy."""
        self._restoration_listeners.append(listener)

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
        version = 0
        while True:
            response_body = self._call(
                "GET", f"/v1/rows-get?{urlencode(query)}", b"", CALL_TIMEOUT_S
            )
            page = response_body.bind(lambda body: _decode_changes(table, body))
            if isinstance(page, Failure):
                return page
            rows += page.unwrap().rows
            # A watch from the version of the first page returns what changed between two pages.
            version = version or page.unwrap().version
            if not response_body.unwrap().get("has_more") or not page.unwrap().rows:
                return Success(Changes(tuple(rows), version))
            query["from"] = rows[-1].key + "\x00"

    def watch(self, table: str, after: int, wait_s: float) -> Result[Changes, PlatformError]:
        """Waits up to `wait_s` for changes; `HISTORY_LOST` calls for a new snapshot."""
        query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        return self._get("/v1/rows-feed", query, wait_s + WATCH_TIMEOUT_MARGIN_S)

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        """Applies all writes in one transaction if all conditions hold; returns the new version."""
        body = {
            "expected": [
                {**_encode_key(row.table, row.key), "ver": row.version} for row in conditions
            ],
            "put_rows": [
                {**_encode_key(row.table, row.key), "value": _encode_value(row.value)}
                for row in writes
                if row.value is not None
            ],
            "remove": [_encode_key(row.table, row.key) for row in writes if row.value is None],
        }
        response_body = self._call("POST", "/v1/rows-tx", json.dumps(body).encode(), CALL_TIMEOUT_S)
        return response_body.bind(_decode_version)

    def _get(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> Result[Changes, PlatformError]:
        response_body = self._call("GET", f"{path}?{urlencode(query)}", b"", timeout_s)
        return response_body.bind(lambda body: _decode_changes(str(query["table"]), body))

    def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> Result[dict[str, Any], PlatformError]:
        result = self._client.request(method, path, body, timeout_s)
        if isinstance(result, Failure):
            failure = result.failure()
            kind = PlatformFailure.UNKNOWN if failure.maybe_sent else PlatformFailure.UNAVAILABLE
            return Failure(PlatformError(kind, failure.detail))
        response = result.unwrap()
        self._note_era(_decode_era(response))
        if response.status == 200:
            return _decode_body(response)
        kind = _FAILURE_BY_STATUS.get(response.status, PlatformFailure.UNKNOWN)
        return Failure(PlatformError(kind, f"{path.partition('?')[0]}: status {response.status}"))

    def _note_era(self, era: int) -> None:
        known, self._era = self._era, max(self._era or 0, era)
        if known is not None and era > known:
            for listener in self._restoration_listeners:
                listener(era)


def _encode_key(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def _decode_era(response: HttpResponse) -> int:
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() else 0


def _decode_body(response: HttpResponse) -> Result[dict[str, Any], PlatformError]:
    try:
        body = json.loads(response.body)
    except ValueError as error:
        return Failure(PlatformError(PlatformFailure.UNKNOWN, f"malformed response: {error}"))
    if not isinstance(body, dict):
        return Failure(PlatformError(PlatformFailure.UNKNOWN, "response is not an object"))
    return Success(body)


def _decode_version(body: dict[str, Any]) -> Result[int, PlatformError]:
    version = body.get("ver")
    if type(version) is int:
        return Success(version)
    return Failure(PlatformError(PlatformFailure.UNKNOWN, "response has no version"))


def _decode_changes(table: str, body: dict[str, Any]) -> Result[Changes, PlatformError]:
    rows = [_decode_row(table, row) for row in body.get("rows") or ()]
    return _decode_version(body).map(lambda version: Changes(tuple(rows), version))


def _decode_row(table: str, raw: dict[str, Any]) -> Row:
    deleted = bool(raw.get("deleted"))
    value = {} if deleted else _decode_value(raw.get("value"))
    return Row(table, str(raw.get("key")), int(raw.get("ver") or 0), value, deleted)


def _decode_value(encoded: Any) -> dict[str, Any]:
    """Returns the value of a row, an empty object if it cannot be decoded.

    Other writers may leave any bytes in a row; the decoders of entries report the missing fields.
    """
    try:
        value = json.loads(base64.b64decode(encoded, validate=True))
    except (ValueError, TypeError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
