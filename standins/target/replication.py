"""Replication on the side of the replica: pulls the log of the primary and applies it."""

import time

import attrs
import gevent
import msgspec
from returns.result import Failure

from siskindale.models.address import Address
from siskindale.models.group import LogPosition, Role
from siskindale.transport.http import HttpClient, identity_headers
from siskindale.transport.metrics import TrafficPurpose
from standins.server import Faults
from standins.target.storage import Entry, Storage

PULL_WAIT_MS = 100
PULL_TIMEOUT_S = 2.0
RETRY_S = 0.05
BATCH_ENTRIES = 500

_ENCODER = msgspec.json.Encoder()


@attrs.define
class TargetFaults(Faults):
    """Faults of a target with the lag of its replication in milliseconds."""

    ship_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0


@attrs.frozen
class PullRequest:
    """Asks for entries behind `after`.

    `runs` holds (first position, term) of each stretch of the replica's log while it is not yet
    matched with the primary's.
    """

    term: int
    after: LogPosition
    runs: list[tuple[int, int]] | None
    lag_ms: float
    wait_ms: float


@attrs.frozen
class PullAnswer:
    """Entries behind `match`, the last position in which both logs are equal.

    `match` is negative where the replica must send its term runs first.
    """

    term: int
    match: int
    entries: list[Entry]


_ANSWERS = msgspec.json.Decoder(PullAnswer)


def answer_pull(storage: Storage, request: PullRequest) -> PullAnswer | None:
    """Answers on the side of the primary; None where it is not the primary of that term."""
    give_up = time.monotonic() + request.wait_ms / 1000
    while True:
        if storage.state.role is not Role.PRIMARY or storage.state.term != request.term:
            return None
        match = _match(storage, request)
        if match is None:
            return PullAnswer(storage.state.term, -1, [])
        now = time.monotonic()
        entries = storage.entries(match, BATCH_ENTRIES, now - request.lag_ms / 1000)
        if entries or request.runs is not None or now >= give_up:
            return PullAnswer(storage.state.term, match, entries)
        storage.changed.wait(_pause(storage, match, request.lag_ms / 1000, give_up, now))


def _match(storage: Storage, request: PullRequest) -> int | None:
    if request.runs is not None:
        return storage.match(request.runs, request.after.position)
    known = request.after.position <= storage.last.position
    return request.after.position if known and _equal(storage, request.after) else None


def _equal(storage: Storage, position: LogPosition) -> bool:
    return storage.at(position.position) == position


def _pause(storage: Storage, after: int, lag_s: float, give_up: float, now: float) -> float:
    """Returns how long to wait: until the next held-back entry is due, or until `give_up`."""
    due = give_up
    if storage.last.position > after:
        due = min(due, storage.received_at(after + 1) + lag_s)
    return max(due - now, 0.0005)


class Replicator:
    """Follows the primary that the state names."""

    def __init__(self, storage: Storage, faults: TargetFaults) -> None:
        self._storage = storage
        self._faults = faults
        self._clients: dict[Address, HttpClient] = {}
        self._pulling: gevent.Greenlet | None = None
        self._generation = 0

    def start(self) -> None:
        """Starts pulling and applying."""
        gevent.spawn(self._pull_forever)
        gevent.spawn(self._abandon_forever)
        gevent.spawn(self._apply_forever)

    def _pull_forever(self) -> None:
        while True:
            if self._storage.state.role is not Role.REPLICA:
                self._storage.changed.wait(1.0)
            elif not self._start_pull().get():
                gevent.sleep(RETRY_S)

    def _start_pull(self) -> gevent.Greenlet:
        self._generation = self._storage.generation
        self._pulling = gevent.spawn(self._pull)
        return self._pulling

    def _abandon_forever(self) -> None:
        """Ends a pull from a primary that hangs as soon as there is another one to follow."""
        while True:
            self._storage.changed.wait(1.0)
            if self._pulling is not None and self._storage.generation != self._generation:
                self._pulling.kill(block=False)
                self._pulling = None

    def _pull(self) -> bool:
        storage = self._storage
        state, generation = storage.state, storage.generation
        if state.primary_control is None or self._faults.cuts(state.primary or "", "targets"):
            return False
        request = PullRequest(
            term=state.term,
            after=storage.last,
            runs=None if storage.matched else storage.term_runs(),
            lag_ms=self._faults.ship_lag_ms,
            wait_ms=PULL_WAIT_MS,
        )
        client = self._client(state.primary_control)
        answer = client.request("POST", "/pull", _ENCODER.encode(request), PULL_TIMEOUT_S)
        # An answer counts only for the primary that it was asked from.
        if storage.generation != generation or isinstance(answer, Failure):
            return storage.generation != generation
        if self._faults.cuts(state.primary or "", "targets"):
            return False
        response = answer.unwrap()
        if response.status != 200:
            return False
        return self._take(_ANSWERS.decode(response.body))

    def _take(self, answer: PullAnswer) -> bool:
        storage = self._storage
        storage.heard_at = time.monotonic()
        if answer.match < 0:
            storage.set_matched(False)
            return False
        if not storage.matched:
            storage.truncate(answer.match)
            storage.set_matched(True)
        storage.receive(answer.entries)
        self._apply_due()
        return True

    def _client(self, address: Address) -> HttpClient:
        if address not in self._clients:
            headers = identity_headers("targets", self._storage.name)
            self._clients[address] = HttpClient(address, headers, TrafficPurpose.CONTROL)
        return self._clients[address]

    def _apply_forever(self) -> None:
        while True:
            due = self._apply_due()
            self._storage.changed.wait(1.0 if due is None else max(due, 0.0005))

    def _apply_due(self) -> float | None:
        """Applies what is due; returns the time until the next entry is due in seconds."""
        storage = self._storage
        now, lag_s = time.monotonic(), self._faults.apply_lag_ms / 1000
        upto = storage.applied
        while upto < storage.last.position and storage.received_at(upto + 1) + lag_s <= now:
            upto += 1
        storage.apply(upto)
        if upto == storage.last.position:
            return None
        return storage.received_at(upto + 1) + lag_s - now
