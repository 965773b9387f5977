"""HTTP servers of the platform stand-in: one for its services, one for administration."""

import hashlib
from typing import Any

import attrs
import msgspec

from siskindale.models.address import Address
from siskindale.store.interface import Condition, LiveView, Write
from standins.platform.services import PlatformState
from standins.server import Faults, MalformedRequestError, Reply, Request, Server


@attrs.define
class PlatformFaults(Faults):
    """Faults of the platform; while `down` is set, connections are refused."""

    down: bool = False


@attrs.frozen
class _ReadRequest:
    table: str
    key: str


@attrs.frozen
class _ScanRequest:
    table: str
    after_version: int = 0


@attrs.frozen
class _CommitRequest:
    conditions: list[Condition]
    writes: list[Write]


@attrs.frozen
class _LiveRequest:
    known: str = ""


class Handlers:
    """Request handlers of the three services."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    @property
    def by_path(self) -> dict[str, Any]:
        """Request handlers by path."""
        return {
            "/tables/read": self._read,
            "/tables/scan": self._scan,
            "/tables/commit": self._commit,
            "/objects/*": self._object,
            "/live": self._live,
        }

    def _read(self, request: Request) -> Reply:
        query = request.decode(_ReadRequest)
        return Reply({"row": self._state.tables.read(query.table, query.key)})

    def _scan(self, request: Request) -> Reply:
        query = request.decode(_ScanRequest)
        return Reply({"rows": self._state.tables.scan(query.table, query.after_version)})

    def _commit(self, request: Request) -> Reply:
        query = request.decode(_CommitRequest)
        outcome = self._state.tables.commit(query.conditions, query.writes)
        if isinstance(outcome, Condition):
            return Reply({"detail": "condition failed", "condition": outcome}, 409)
        return Reply({"version": outcome})

    def _object(self, request: Request) -> Reply:
        digest = request.path.rpartition("/")[2]
        if request.method == "PUT":
            if hashlib.sha256(request.body).hexdigest() != digest:
                return Reply({"detail": "digest does not match the content"}, 400)
            self._state.objects[digest] = request.body
            return Reply()
        content = self._state.objects.get(digest)
        return Reply({"detail": "no such object"}, 404) if content is None else Reply(content)

    def _live(self, request: Request) -> Reply:
        live = self._state.live
        if request.decode(_LiveRequest).known == self._state.live_revision:
            return Reply({"revision": self._state.live_revision})
        return Reply({"revision": self._state.live_revision, "view": live})


class PlatformServers:
    """Server for the services, which a fault can stop, and server for administration."""

    def __init__(self, listen: Address, admin: Address) -> None:
        self._listen = listen
        self._faults = PlatformFaults()
        self._state = PlatformState()
        self._routes = Handlers(self._state).by_path
        self._server: Server | None = None
        admin_routes = {
            "/faults": self._set_faults,
            "/live": self._set_live,
            "/backup": self._back_up,
            "/restore": self._restore,
        }
        self.admin = Server(admin, admin_routes, Faults())

    def start(self) -> None:
        """Starts the server of the services."""
        self._server = Server(self._listen, self._routes, self._faults)
        self._server.common_headers.append(("Store-Era", str(self._state.era)))
        self._server.start()

    def _stop(self) -> None:
        if self._server is not None:
            connections = list(self._server.connections)
            self._server.stop(timeout=0.01)
            for connection in connections:
                connection.shut_down()
            self._server = None

    def _set_faults(self, request: Request) -> Reply:
        """Updates the faults given in the request and returns all faults."""
        values = request.decode(dict)
        current = attrs.asdict(self._faults)
        if unknown := sorted(values.keys() - current.keys()):
            raise MalformedRequestError(f"unknown faults: {', '.join(unknown)}")
        updated = msgspec.convert({**current, **values}, PlatformFaults)
        for name in current:
            setattr(self._faults, name, getattr(updated, name))
        if self._faults.down:
            self._stop()
        elif self._server is None:
            self.start()
        if self._server is not None:
            self._server.cut_connections()
        return Reply(attrs.asdict(self._faults))

    def _back_up(self, _: Request) -> Reply:
        self._state.back_up()
        return Reply()

    def _restore(self, _: Request) -> Reply:
        """Restores the tables from the backup; open connections are closed."""
        self._stop()
        self._state.restore()
        self.start()
        return Reply()

    def _set_live(self, request: Request) -> Reply:
        """Replaces the live list on POST and returns it."""
        if request.method == "POST":
            self._state.set_live(request.decode(LiveView))
        return Reply(self._state.live)
