"""Stand-in of the platform: its metadata store and `POST /promote`."""

import asyncio
import base64
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
MAX_ROWS = 500
HANG_S = 600.0

Row = dict[str, Any]
Answer = tuple[int, dict[str, Any]]
Promote = Callable[[str, str], Awaitable[int]]

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class Store:
    """Rows in tables, with a feed of changes; nothing acknowledged is lost."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.changes: list[Row] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> int:
        """Writes a row as the operator or an instance does; None drops it."""
        self.version += 1
        encoded = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._apply(table, "", key, encoded)
        self._notify()
        return self.version

    def _apply(self, table: str, part: str, key: str, encoded: str | None) -> None:
        row: Row = {"table": table, "part": part, "key": key, "ver": self.version}
        if encoded is None:
            self.rows.pop((table, part, key), None)
            self.changes.append({**row, "deleted": True})
            return
        row["value"] = encoded
        self.rows[table, part, key] = row
        self.changes.append(row)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        now_ms = int((time.monotonic() - self.started) * 1000)
        return {**fields, "ver": self.version, "now_ms": now_ms}

    async def call(self, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Performs one call and returns its status and body."""
        await asyncio.sleep(ANSWER_S)
        if path == "/v1/rows-get":
            return self._get(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> Answer:
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("target" not in query or key < query["target"])
        ]
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return 200, self._answer(rows=found[:limit], has_more=len(found) > limit)

    async def _feed(self, query: dict[str, str]) -> Answer:
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = self._changes_of(query["table"], after)
            remaining = end - time.monotonic()
            if found or remaining <= 0:
                return 200, self._answer(rows=found)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except TimeoutError:
                continue

    def _changes_of(self, table: str, after: int) -> list[Row]:
        newest = {
            (row["part"], row["key"]): row
            for row in self.changes
            if row["table"] == table and row["ver"] > after
        }
        return sorted(newest.values(), key=lambda row: row["ver"])

    def _transact(self, body: dict[str, Any]) -> Answer:
        expected = [(r["table"], r["part"], r["key"], r["ver"]) for r in body.get("expected", [])]
        for table, part, key, version in expected:
            if self.rows.get((table, part, key), {"ver": 0})["ver"] != version:
                keys = [(t, p, k) for t, p, k, _ in expected]
                return 412, self._answer(rows=[self.rows[k] for k in keys if k in self.rows])
        self.version += 1
        for row in body.get("put_rows", []):
            self._apply(row["table"], row["part"], row["key"], row["value"])
        for row in body.get("remove", []):
            self._apply(row["table"], row["part"], row["key"], None)
        self._notify()
        return 200, self._answer()


class Platform:
    """HTTP servers of the store, one address a machine, and of the promotions."""

    def __init__(self, promote: Promote) -> None:
        self.store = Store()
        self.promotions: list[tuple[float, str, str, str, int, int]] = []
        self.calls: list[tuple[float, str, str]] = []
        self.open_connections: dict[str, int] = {}
        self.late_share = 0.0
        self.late_s = (2.0, 12.0)
        self.cut_off: set[str] = set()
        self._promote = promote
        self._fences: dict[str, int] = {}
        self._random = random.Random(1)

    async def listen(self, host: str, machine: str) -> int:
        """Serves one machine at a port of its own, and returns the port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.open_connections[machine] = self.open_connections.get(machine, 0) + 1
            try:
                await self._serve(reader, writer, machine)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                self.open_connections[machine] -= 1
                writer.close()

        server = await asyncio.start_server(serve, host, 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, machine: str
    ) -> None:
        while line := await reader.readline():
            method, target, _ = line.decode().split(" ", 2)
            headers: dict[str, str] = {}
            while (header := (await reader.readline()).decode().strip()) != "":
                name, _, value = header.partition(":")
                headers[name.strip().lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            status, answer = await self._call(method, target, headers, body, machine)
            data = json.dumps(answer).encode()
            reason = REASONS.get(status, "Status")
            head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()

    async def _call(
        self, method: str, target: str, headers: dict[str, str], body: bytes, machine: str
    ) -> Answer:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if machine in self.cut_off:
            await asyncio.sleep(HANG_S)
        self.calls.append((time.monotonic(), machine, target))
        if method == "POST" and url.path == "/promote":
            return await self._call_promote(headers, json.loads(body))
        return await self.store.call(url.path, query, body)

    async def _call_promote(self, headers: dict[str, str], body: dict[str, str]) -> Answer:
        service, fence = body["service"], int(headers["x-fence-token"])
        holder = headers["x-duty-holder"]
        if self._random.random() < self.late_share:
            self.promotions.append((time.monotonic(), holder, service, body["id"], fence, 0))
            asyncio.create_task(self._perform_late(holder, service, body["id"], fence))
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(ANSWER_S)
        return await self._perform(holder, service, body["id"], fence), {}

    async def _perform_late(self, holder: str, service: str, name: str, fence: int) -> None:
        await asyncio.sleep(self._random.uniform(*self.late_s))
        await self._perform(holder, service, name, fence)

    async def _perform(self, holder: str, service: str, name: str, fence: int) -> int:
        if fence < self._fences.get(service, 0):
            status = 409
        else:
            self._fences[service] = fence
            status = await self._promote(service, name)
        self.promotions.append((time.monotonic(), holder, service, name, fence, status))
        return status

    def last_read(self, table: str) -> dict[str, float]:
        """Returns when each machine last read a table."""
        return {m: at for at, m, target in self.calls if f"table={table}" in target}
