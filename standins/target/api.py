"""Data and control servers of a target."""

import time
from typing import Any

import attrs
import gevent
import msgspec

from siskindale.models.address import Address
from siskindale.models.group import Role
from siskindale.targets.http import ErrorBody
from siskindale.targets.interface import Begin, Commit, Rollback, Statement, Step, TargetFailure
from standins.server import Connection, MalformedError, Reply, Request, Server
from standins.target.replication import PullRequest, TargetFaults, answer_pull
from standins.target.sessions import Engine, RefusedError, Session
from standins.target.storage import State


@attrs.frozen
class Limits:
    """Limits and delays of a target."""

    connections: int
    connect_ms: float
    idle_timeout_s: float
    network_ms: float


@attrs.frozen
class _Batch:
    id: int
    steps: list[list[Any]]


@attrs.frozen
class _Wait:
    term: int
    position: int
    wait_ms: float


@attrs.frozen
class _Fence:
    term: int


@attrs.frozen
class _Promote:
    term: int
    voters: tuple[str, ...]


@attrs.frozen
class _Follow:
    term: int
    primary: str
    control: Address


def _refusal(kind: TargetFailure, detail: str, **fields: Any) -> Reply:
    return Reply(ErrorBody(kind, detail, **fields), 409)


def decode_step(raw: list[Any]) -> Step:
    """Returns the step of a JSON array."""
    match raw:
        case ["begin", str(mode)]:
            return Begin(mode)
        case ["statement", str(sql), list(params)]:
            return Statement(sql, tuple(params))
        case ["commit"]:
            return Commit()
        case ["rollback"]:
            return Rollback()
    raise MalformedError(f"not a step: {raw!r:.100}")


class DataServer(Server):
    """Data port: each TCP connection is one session of the database."""

    def __init__(
        self, address: Address, engine: Engine, limits: Limits, faults: TargetFaults
    ) -> None:
        routes = {"/open": self._open, "/run": self._run}
        super().__init__(address, routes, faults, limits.network_ms, limits.idle_timeout_s)
        self._engine = engine
        self._limits = limits

    def closed(self, connection: Connection) -> None:
        """Frees the session of a connection."""
        super().closed(connection)
        session, connection.session = connection.session, None
        if session is not None:
            session.close()

    def _open(self, request: Request) -> Reply:
        connection = request.connection
        # A connection counts from its acceptance on, so that many openings at once stay limited.
        if len(self.connections) > self._limits.connections:
            connection.close_connection = True
            return _refusal(TargetFailure.LIMIT, f"over {self._limits.connections} connections")
        gevent.sleep(self._limits.connect_ms / 1000)
        connection.session = Session(self._engine, connection.socket)
        return Reply()

    def _run(self, request: Request) -> Reply:
        batch = request.decode(_Batch)
        session = request.connection.session
        if session is None:
            return _refusal(TargetFailure.STATEMENT, "connection is not open", id=batch.id)
        steps = [decode_step(raw) for raw in batch.steps]
        try:
            return Reply(session.run(batch.id, steps))
        except RefusedError as error:
            return _refusal(error.kind, error.detail, step=error.step, id=batch.id)


class ControlServer(Server):
    """Control port: status, replication, promotion and faults."""

    def __init__(
        self, address: Address, engine: Engine, limits: Limits, faults: TargetFaults
    ) -> None:
        routes = {
            "/status": self._status,
            "/wait_position": self._wait_position,
            "/fence": self._fence,
            "/promote": self._promote,
            "/follow": self._follow,
            "/pull": self._pull,
            "/faults": self._set_faults,
        }
        super().__init__(address, routes, faults, limits.network_ms)
        self._engine = engine
        self._storage = engine.storage
        self._target_faults = faults
        self.data_server: Server | None = None

    def _status(self, request: Request) -> Reply:
        return Reply(self._storage.status())

    def _wait_position(self, request: Request) -> Reply:
        wait = request.decode(_Wait)
        storage = self._storage
        give_up = time.monotonic() + wait.wait_ms / 1000
        while storage.state.term == wait.term:
            if storage.matched and storage.last.position >= wait.position:
                break
            left = give_up - time.monotonic()
            if left <= 0:
                break
            storage.changed.wait(left)
        return Reply(storage.status())

    def _fence(self, request: Request) -> Reply:
        term, state = request.decode(_Fence).term, self._storage.state
        if term <= state.term:
            return _refusal(TargetFailure.TERM, f"term {term} is not above {state.term}")
        self._engine.abort_writer()
        self._storage.enter(State(term, Role.FENCED))
        return Reply(self._storage.status())

    def _promote(self, request: Request) -> Reply:
        order, state, storage = request.decode(_Promote), self._storage.state, self._storage
        if order.term != state.term:
            return _refusal(TargetFailure.TERM, f"term {order.term} is not the own {state.term}")
        if state.role is not Role.FENCED:
            return _refusal(TargetFailure.ROLE, f"only a fenced target, this is a {state.role}")
        if not order.voters:
            return _refusal(TargetFailure.ROLE, "no voters")
        storage.apply(storage.last.position)
        storage.enter_with_marker(State(order.term, Role.PRIMARY), order.voters)
        return Reply(storage.status())

    def _follow(self, request: Request) -> Reply:
        order, state = request.decode(_Follow), self._storage.state
        if order.term < state.term:
            return _refusal(TargetFailure.TERM, f"term {order.term} is older than {state.term}")
        same_term = order.term == state.term
        if order.primary == self._storage.name or (same_term and state.role is Role.PRIMARY):
            return _refusal(TargetFailure.ROLE, "the primary of a term follows nobody in it")
        if same_term and state.role is Role.REPLICA and state.primary != order.primary:
            return _refusal(TargetFailure.TERM, f"term {order.term} belongs to {state.primary}")
        followed = State(order.term, Role.REPLICA, order.primary, order.control)
        if followed != state:
            self._engine.abort_writer()
            self._storage.enter(followed)
        return Reply(self._storage.status())

    def _pull(self, request: Request) -> Reply:
        answer = answer_pull(self._storage, request.decode(PullRequest))
        if answer is None:
            return _refusal(TargetFailure.TERM, "not the primary of this term")
        return Reply(answer)

    def _set_faults(self, request: Request) -> Reply:
        """Changes the faults that the request names and returns all of them."""
        values = request.decode(dict)
        known = attrs.asdict(self._target_faults)
        if unknown := sorted(values.keys() - known.keys()):
            raise MalformedError(f"unknown faults: {', '.join(unknown)}")
        changed = msgspec.convert({**known, **values}, TargetFaults)
        for name in known:
            setattr(self._target_faults, name, getattr(changed, name))
        self._storage.changed.notify()
        self.cut_connections()
        if self.data_server is not None:
            self.data_server.cut_connections()
        return Reply(attrs.asdict(self._target_faults))
