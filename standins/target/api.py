"""HTTP servers for the data and control ports of a target."""

import time
from typing import Any

import attrs
import gevent
import msgspec

from siskindale.models.address import Address
from siskindale.models.group import Role
from siskindale.targets.http import ErrorBody
from siskindale.targets.interface import Begin, Commit, Rollback, Statement, Step, TargetFailure
from standins.server import Connection, MalformedRequestError, Reply, Request, Server
from standins.target.replication import PullRequest, TargetFaults, answer_pull
from standins.target.sessions import BatchRefusedError, Session, TargetResources
from standins.target.storage import State


@attrs.frozen
class TargetLimits:
    """Connection limit, timeouts and simulated delays of a target."""

    connections: int
    connect_ms: float
    idle_timeout_s: float
    network_ms: float


@attrs.frozen
class _BatchRequest:
    id: int
    steps: list[list[Any]]


@attrs.frozen
class _WaitRequest:
    term: int
    position: int
    wait_ms: float


@attrs.frozen
class _FenceRequest:
    term: int


@attrs.frozen
class _PromoteRequest:
    term: int
    voters: tuple[str, ...]


@attrs.frozen
class _FollowRequest:
    term: int
    primary: str
    control: Address


def _refusal(kind: TargetFailure, detail: str, **fields: Any) -> Reply:
    return Reply(ErrorBody(kind, detail, **fields), 409)


def decode_step(raw: list[Any]) -> Step:
    """Decodes a step from its JSON array."""
    match raw:
        case ["begin", str(mode)]:
            return Begin(mode)
        case ["statement", str(sql), list(params)]:
            return Statement(sql, tuple(params))
        case ["commit"]:
            return Commit()
        case ["rollback"]:
            return Rollback()
    raise MalformedRequestError(f"not a step: {raw!r:.100}")


class DataServer(Server):
    """Data port: each TCP connection is one database session."""

    def __init__(
        self,
        address: Address,
        resources: TargetResources,
        limits: TargetLimits,
        faults: TargetFaults,
    ) -> None:
        routes = {"/open": self._open, "/run": self._run}
        super().__init__(address, routes, faults, limits.network_ms, limits.idle_timeout_s)
        self._resources = resources
        self._limits = limits

    def connection_closed(self, connection: Connection) -> None:
        """Closes the session of a connection."""
        super().connection_closed(connection)
        session, connection.session = connection.session, None
        if session is not None:
            session.close()

    def _open(self, request: Request) -> Reply:
        connection = request.connection
        # Count accepted connections, not opened sessions, so that concurrent opens stay limited.
        if len(self.connections) > self._limits.connections:
            connection.close_connection = True
            return _refusal(TargetFailure.LIMIT, f"over {self._limits.connections} connections")
        gevent.sleep(self._limits.connect_ms / 1000)
        connection.session = Session(self._resources, connection.socket)
        return Reply()

    def _run(self, request: Request) -> Reply:
        batch = request.decode(_BatchRequest)
        session = request.connection.session
        if session is None:
            return _refusal(TargetFailure.STATEMENT, "connection is not open", id=batch.id)
        steps = [decode_step(raw) for raw in batch.steps]
        try:
            return Reply(session.run_batch(batch.id, steps))
        except BatchRefusedError as error:
            return _refusal(error.kind, error.detail, step=error.step, id=batch.id)


class ControlServer(Server):
    """Control port: status, replication, promotion and faults."""

    def __init__(
        self,
        address: Address,
        resources: TargetResources,
        limits: TargetLimits,
        faults: TargetFaults,
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
        self._resources = resources
        self._storage = resources.storage
        self._target_faults = faults
        self.data_server: Server | None = None

    def _status(self, request: Request) -> Reply:
        return Reply(self._storage.status())

    def _wait_position(self, request: Request) -> Reply:
        wait = request.decode(_WaitRequest)
        storage = self._storage
        deadline = time.monotonic() + wait.wait_ms / 1000
        while storage.state.term == wait.term:
            if storage.matched and storage.last_position.position >= wait.position:
                break
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            storage.change_signal.wait(remaining_s)
        return Reply(storage.status())

    def _fence(self, request: Request) -> Reply:
        term, state = request.decode(_FenceRequest).term, self._storage.state
        if term <= state.term:
            return _refusal(TargetFailure.TERM, f"term {term} is not above {state.term}")
        self._resources.abort_writer()
        self._storage.store_state(State(term, Role.FENCED))
        return Reply(self._storage.status())

    def _promote(self, request: Request) -> Reply:
        command, state, storage = (
            request.decode(_PromoteRequest),
            self._storage.state,
            self._storage,
        )
        if command.term != state.term:
            return _refusal(TargetFailure.TERM, f"term {command.term} is not the own {state.term}")
        if state.role is not Role.FENCED:
            return _refusal(TargetFailure.ROLE, f"only a fenced target, this is a {state.role}")
        if not command.voters:
            return _refusal(TargetFailure.ROLE, "no voters")
        storage.apply(storage.last_position.position)
        storage.store_state_with_marker(State(command.term, Role.PRIMARY), command.voters)
        return Reply(storage.status())

    def _follow(self, request: Request) -> Reply:
        command, state = request.decode(_FollowRequest), self._storage.state
        if command.term < state.term:
            return _refusal(TargetFailure.TERM, f"term {command.term} is older than {state.term}")
        same_term = command.term == state.term
        if command.primary == self._storage.name or (same_term and state.role is Role.PRIMARY):
            return _refusal(TargetFailure.ROLE, "the primary of a term follows nobody in it")
        if same_term and state.role is Role.REPLICA and state.primary != command.primary:
            return _refusal(TargetFailure.TERM, f"term {command.term} belongs to {state.primary}")
        new_state = State(command.term, Role.REPLICA, command.primary, command.control)
        if new_state != state:
            self._resources.abort_writer()
            self._storage.store_state(new_state)
        return Reply(self._storage.status())

    def _pull(self, request: Request) -> Reply:
        answer = answer_pull(self._storage, request.decode(PullRequest))
        if answer is None:
            return _refusal(TargetFailure.TERM, "not the primary of this term")
        return Reply(answer)

    def _set_faults(self, request: Request) -> Reply:
        """Updates the faults given in the request and returns all faults."""
        values = request.decode(dict)
        current = attrs.asdict(self._target_faults)
        if unknown := sorted(values.keys() - current.keys()):
            raise MalformedRequestError(f"unknown faults: {', '.join(unknown)}")
        updated = msgspec.convert({**current, **values}, TargetFaults)
        for name in current:
            setattr(self._target_faults, name, getattr(updated, name))
        self._storage.change_signal.wake_all()
        self.cut_connections()
        if self.data_server is not None:
            self.data_server.cut_connections()
        return Reply(attrs.asdict(self._target_faults))
