"""Stand-in for the store and the promotions of the platform, over HTTP/1.1."""

import base64
import json
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import attrs
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from siskindale.models.address import Address
from siskindale.store.interface import Condition, Row, Write
from standins.platform.services import Tables

HANG_S = 600.0
STATUS_LINES = {
    200: "200 OK",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


@attrs.frozen
class PromotionCall:
    """A call that requested a promotion."""

    group: str
    target: str
    holder: str
    fencing_token: int


@attrs.define
class StoreFaults:
    """Faults of the platform.

    `down` refuses calls to the store as unavailable, `rate_limited` as too frequent. The store
    handles each call after `delay_s`. The next `lose_commits` transactions take effect without a
    response; the next `lose_promotions` promotions are carried out `promotion_delay_s` late, and
    their response comes no earlier. `history_lost` refuses all watches. While it is `unresponsive`,
    the store answers no call, nor any that was in progress when it stopped responding.
    """

    down: bool = False
    rate_limited: bool = False
    delay_s: float = 0.0
    lose_commits: int = 0
    lose_promotions: int = 0
    promotion_delay_s: float = 0.0
    history_lost: bool = False
    unresponsive: bool = False
    outages: int = 0

    def stop_responding(self) -> None:
        """Makes the store unresponsive."""
        self.unresponsive = True
        self.outages += 1


class PlatformStandin:
    """Store and promotions, served at one address."""

    def __init__(self, address: Address, promote: Callable[[str, str], bool]) -> None:
        self._tables = Tables()
        self.era = 1
        self._changed = Event()
        self._promote = promote
        self._fencing_tokens: dict[str, int] = {}
        self.faults = StoreFaults()
        self.promotions: list[PromotionCall] = []
        self.server = WSGIServer(
            (address.host, address.port), self._serve, log=None, error_log=None
        )

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> int:
        """Writes a row as the operator or a target would; None deletes it."""
        version = self._tables.commit([], [Write(table, key, value)])
        self._notify_watchers()
        assert isinstance(version, int)
        return version

    def row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        return self._tables.read(table, key)

    def backup(self) -> Tables:
        """Returns a copy of the store's tables."""
        return self._tables.copy()

    def restore(self, backup: Tables) -> None:
        """Replaces the store's tables by an older copy, which begins a new era."""
        self._tables.restore(backup)
        self.era += 1

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        query = {name: v[0] for name, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        outages = self.faults.outages
        status, response = self._handle_request(environ, query, body)
        if self.faults.unresponsive or self.faults.outages != outages:
            gevent.sleep(HANG_S)
        data = json.dumps(response).encode()
        headers = [("Content-Length", str(len(data))), ("Store-Era", str(self.era))]
        start_response(STATUS_LINES[status], headers)
        return [data]

    def _handle_request(
        self, environ: dict[str, Any], query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        path = environ["PATH_INFO"]
        if path == "/promote":
            return self._handle_promotion(environ, json.loads(body))
        return self.handle_store_call(path, query, body)

    def handle_store_call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and body of the response to a call of the store."""
        if self.faults.down or self.faults.rate_limited:
            return (503 if self.faults.down else 429), {}
        gevent.sleep(self.faults.delay_s)
        if path == "/v1/rows-get":
            return 200, self._get_rows(query)
        if path == "/v1/rows-feed":
            return self._watch_rows(query)
        if path == "/v1/rows-tx":
            return self._commit(json.loads(body))
        return 404, {}

    def _get_rows(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for row in self._tables.scan(query["table"], 0)
            if not row.deleted and query.get("from", "") <= row.key
            if "target" not in query or row.key < query["target"]
        ]
        return self._encode_rows(sorted(rows, key=lambda row: row.key))

    def _watch_rows(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if self.faults.history_lost:
            return 410, {}
        after = int(query["after"])
        if after > self._tables.version:
            return 410, {}
        with gevent.Timeout(int(query["wait_ms"]) / 1000, False):
            while not self._tables.scan(query["table"], after):
                self._changed.wait()
        return 200, self._encode_rows(self._tables.scan(query["table"], after))

    def _encode_rows(self, rows: list[Row]) -> dict[str, Any]:
        encoded = [
            {
                "key": row.key,
                "value": base64.b64encode(json.dumps(row.value).encode()).decode(),
                "ver": row.version,
                "deleted": row.deleted,
            }
            for row in rows
        ]
        return {"rows": encoded, "has_more": False, "ver": self._tables.version, "now_ms": 0}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = [Condition(c["table"], c["key"], c["ver"]) for c in body["expected"]]
        writes = [
            Write(w["table"], w["key"], json.loads(base64.b64decode(w["value"])))
            for w in body["put_rows"]
        ]
        outcome = self._tables.commit(conditions, writes)
        self._notify_watchers()
        if isinstance(outcome, int) and self.faults.lose_commits:
            self.faults.lose_commits -= 1
            gevent.sleep(HANG_S)
        if isinstance(outcome, int):
            return 200, {"ver": outcome, "now_ms": 0}
        return 412, {"rows": [], "ver": self._tables.version, "now_ms": 0}

    def _handle_promotion(
        self, environ: dict[str, Any], body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        call = PromotionCall(
            body["service"],
            body["id"],
            environ["HTTP_X_DUTY_HOLDER"],
            int(environ["HTTP_X_FENCE_TOKEN"]),
        )
        self.promotions.append(call)
        if self.faults.lose_promotions:
            self.faults.lose_promotions -= 1
            gevent.sleep(self.faults.promotion_delay_s)
        return (200 if self._apply_promotion(call) else 409), {}

    def use_fencing_token(self, group: str, fencing_token: int) -> None:
        """Makes older tokens of a group invalid, as a promotion with this one would."""
        self._fencing_tokens[group] = fencing_token

    def _apply_promotion(self, call: PromotionCall) -> bool:
        if call.fencing_token < self._fencing_tokens.get(call.group, 0):
            return False
        self._fencing_tokens[call.group] = call.fencing_token
        return self._promote(call.group, call.target)
