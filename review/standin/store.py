"""Stand-in of the platform: the metadata store and the call that promotes an instance."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

Promote = Callable[[str, str, str, int], Awaitable[int]]
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed"}


class Platform:
    """Tables with one counter of versions, watches, and promotions under fencing tokens."""

    def __init__(self, promote: Promote, record: Callable[..., None]) -> None:
        self._promote = promote
        self._record = record
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._tokens: dict[str, int] = {}
        self.address = ""

    async def start(self, host: str) -> None:
        """Listens at a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator or an instance would; None removes it."""
        raw = None if value is None else json.dumps(value).encode()
        self._write([(table, key, raw)])

    def keys(self, table: str) -> set[str]:
        """Returns the keys of the rows of a table."""
        return {key for (name, key), (raw, _) in self._rows.items() if name == table and raw}

    def _write(self, writes: list[tuple[str, str, bytes | None]]) -> None:
        self._version += 1
        for table, key, raw in writes:
            self._rows[table, key] = (raw, self._version)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                start = (
                    f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(start.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, object]]:
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        if path == "/promote":
            return await self._order(json.loads(body), headers), {}
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-feed":
            return 200, await self._feed(query)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    async def _order(self, body: dict[str, str], headers: dict[str, str]) -> int:
        service, token = body["service"], int(headers["x-fence-token"])
        holder = headers["x-duty-holder"]
        if token < self._tokens.get(service, 0):
            status = 409
        else:
            self._tokens[service] = token
            status = await self._promote(service, body["id"], holder, token)
        self._record("promote", service=service, id=body["id"], holder=holder, status=status)
        return status

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        found = sorted(
            (key, raw, version)
            for (table, key), (raw, version) in self._rows.items()
            if table == query["table"] and raw is not None and key >= query.get("from", "")
            if "target" not in query or key < query["target"]
        )
        return self._encode(query["table"], found)

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                (key, raw, version)
                for (table, key), (raw, version) in self._rows.items()
                if table == query["table"] and version > int(query["after"])
            ]
            if found or loop.time() >= give_up_at:
                return self._encode(query["table"], sorted(found, key=lambda row: row[2]))
            try:
                await asyncio.wait_for(self._changed.wait(), give_up_at - loop.time())
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        for row in body["expected"]:
            raw, version = self._rows.get((str(row["table"]), str(row["key"])), (None, 0))
            if (version if raw is not None else 0) != row["ver"]:
                return 412, {"rows": [], **self._now()}
        puts = [
            (str(row["table"]), str(row["key"]), base64.b64decode(str(row["value"])))
            for row in body["put_rows"]
        ]
        removals = [(str(row["table"]), str(row["key"]), None) for row in body["remove"]]
        self._write([*puts, *removals])
        return 200, self._now()

    def _encode(self, table: str, rows: list[tuple[str, bytes | None, int]]) -> dict[str, object]:
        encoded: list[dict[str, object]] = [
            {"table": table, "part": "", "key": key, "ver": version}
            | (
                {"deleted": True}
                if raw is None
                else {"value": base64.b64encode(raw).decode("ascii")}
            )
            for key, raw, version in rows
        ]
        return {"rows": encoded, "has_more": False, **self._now()}

    def _now(self) -> dict[str, object]:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"ver": self._version, "now_ms": now_ms}
