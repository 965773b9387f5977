"""Servers of the platform: the services, and the administration of the stand-in."""

import hashlib
from typing import Any

import attrs
import msgspec

from siskindale.models.address import Address
from siskindale.store.interface import Condition, LiveView, Write
from standins.platform.services import Services
from standins.server import Faults, MalformedError, Reply, Request, Server


@attrs.define
class PlatformFaults(Faults):
    """Faults of the platform; while `down`, connections are refused."""

    down: bool = False


@attrs.frozen
class _Read:
    table: str
    key: str


@attrs.frozen
class _Scan:
    table: str
    after_version: int = 0


@attrs.frozen
class _Commit:
    conditions: list[Condition]
    writes: list[Write]


@attrs.frozen
class _KnownLive:
    known: str = ""


class Routes:
    """Handlers of the three services."""

    def __init__(self, services: Services) -> None:
        self._services = services

    @property
    def table(self) -> dict[str, Any]:
        """Handlers by path."""
        return {
            "/tables/read": self._read,
            "/tables/scan": self._scan,
            "/tables/commit": self._commit,
            "/objects/*": self._object,
            "/live": self._live,
        }

    def _read(self, request: Request) -> Reply:
        wanted = request.decode(_Read)
        return Reply({"row": self._services.tables.read(wanted.table, wanted.key)})

    def _scan(self, request: Request) -> Reply:
        wanted = request.decode(_Scan)
        return Reply({"rows": self._services.tables.scan(wanted.table, wanted.after_version)})

    def _commit(self, request: Request) -> Reply:
        wanted = request.decode(_Commit)
        done = self._services.tables.commit(wanted.conditions, wanted.writes)
        if isinstance(done, Condition):
            return Reply({"detail": "condition failed", "condition": done}, 409)
        return Reply({"version": done})

    def _object(self, request: Request) -> Reply:
        digest = request.path.rpartition("/")[2]
        if request.method == "PUT":
            if hashlib.sha256(request.body).hexdigest() != digest:
                return Reply({"detail": "digest does not match the content"}, 400)
            self._services.objects[digest] = request.body
            return Reply()
        content = self._services.objects.get(digest)
        return Reply({"detail": "no such object"}, 404) if content is None else Reply(content)

    def _live(self, request: Request) -> Reply:
        live = self._services.live
        if request.decode(_KnownLive).known == self._services.live_revision:
            return Reply({"revision": self._services.live_revision})
        return Reply({"revision": self._services.live_revision, "view": live})


class PlatformServers:
    """The services' server, which a fault may close, and the server for administration."""

    def __init__(self, listen: Address, admin: Address) -> None:
        self._listen = listen
        self._faults = PlatformFaults()
        self._services = Services()
        self._routes = Routes(self._services).table
        self._server: Server | None = None
        self.admin = Server(admin, {"/faults": self._set_faults, "/live": self._set_live}, Faults())

    def start(self) -> None:
        """Starts the services."""
        self._server = Server(self._listen, self._routes, self._faults)
        self._server.start()

    def _stop(self) -> None:
        if self._server is not None:
            connections = list(self._server.connections)
            self._server.stop(timeout=0.01)
            for connection in connections:
                connection.cut()
            self._server = None

    def _set_faults(self, request: Request) -> Reply:
        """Changes the faults that the request names and returns all of them."""
        values = request.decode(dict)
        known = attrs.asdict(self._faults)
        if unknown := sorted(values.keys() - known.keys()):
            raise MalformedError(f"unknown faults: {', '.join(unknown)}")
        changed = msgspec.convert({**known, **values}, PlatformFaults)
        for name in known:
            setattr(self._faults, name, getattr(changed, name))
        if self._faults.down:
            self._stop()
        elif self._server is None:
            self.start()
        if self._server is not None:
            self._server.cut_connections()
        return Reply(attrs.asdict(self._faults))

    def _set_live(self, request: Request) -> Reply:
        """Replaces the live list."""
        if request.method == "POST":
            self._services.set_live(request.decode(LiveView))
        return Reply(self._services.live)
