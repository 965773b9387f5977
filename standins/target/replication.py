"""Log replication: replicas pull entries from the primary and apply them."""

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
RETRY_DELAY_S = 0.05
MAX_BATCH_ENTRIES = 500

_ENCODER = msgspec.json.Encoder()


@attrs.define
class TargetFaults(Faults):
    """Faults of a target, including its replication lag in milliseconds."""

    ship_lag_ms: float = 0.0
    apply_lag_ms: float = 0.0


@attrs.frozen
class PullRequest:
    """Requests the entries after `after`.

    `runs` holds (first position, term) of each run of entries in the replica's log, until that
    log is matched with the primary's.
    """

    term: int
    after: LogPosition
    runs: list[tuple[int, int]] | None
    lag_ms: float
    wait_ms: float


@attrs.frozen
class PullAnswer:
    """Entries after `match`, the last position up to which both logs are equal.

    `match` is negative if the replica must send its term runs first.
    """

    term: int
    match: int
    entries: list[Entry]


_ANSWER_DECODER = msgspec.json.Decoder(PullAnswer)


def answer_pull(storage: Storage, request: PullRequest) -> PullAnswer | None:
    """Answers a pull; returns None if this target is not the primary of that term."""
    deadline = time.monotonic() + request.wait_ms / 1000
    while True:
        if storage.state.role is not Role.PRIMARY or storage.state.term != request.term:
            return None
        match = _matching_position(storage, request)
        if match is None:
            return PullAnswer(storage.state.term, -1, [])
        now = time.monotonic()
        entries = storage.entries_after(match, MAX_BATCH_ENTRIES, now - request.lag_ms / 1000)
        if entries or request.runs is not None or now >= deadline:
            return PullAnswer(storage.state.term, match, entries)
        storage.change_signal.wait(
            _wait_time_s(storage, match, request.lag_ms / 1000, deadline, now)
        )


def _matching_position(storage: Storage, request: PullRequest) -> int | None:
    if request.runs is not None:
        return storage.last_matching_position(request.runs, request.after.position)
    known = request.after.position <= storage.last_position.position
    return request.after.position if known and _has_entry(storage, request.after) else None


def _has_entry(storage: Storage, position: LogPosition) -> bool:
    return storage.log_position(position.position) == position


def _wait_time_s(storage: Storage, after: int, lag_s: float, deadline: float, now: float) -> float:
    """Returns the seconds until the next delayed entry is due, at most until `deadline`."""
    due = deadline
    if storage.last_position.position > after:
        due = min(due, storage.received_at(after + 1) + lag_s)
    return max(due - now, 0.0005)


class Replicator:
    """Replicates from the primary named in the state."""

    def __init__(self, storage: Storage, faults: TargetFaults) -> None:
        self._storage = storage
        self._faults = faults
        self._clients: dict[Address, HttpClient] = {}
        self._pull_greenlet: gevent.Greenlet | None = None
        self._pull_generation = 0

    def start(self) -> None:
        """Starts the greenlets that pull and apply entries."""
        gevent.spawn(self._pull_loop)
        gevent.spawn(self._cancel_stale_pulls)
        gevent.spawn(self._apply_loop)

    def _pull_loop(self) -> None:
        while True:
            if self._storage.state.role is not Role.REPLICA:
                self._storage.change_signal.wait(1.0)
            elif not self._start_pull().get():
                gevent.sleep(RETRY_DELAY_S)

    def _start_pull(self) -> gevent.Greenlet:
        self._pull_generation = self._storage.generation
        self._pull_greenlet = gevent.spawn(self._pull)
        return self._pull_greenlet

    def _cancel_stale_pulls(self) -> None:
        """Cancels a pull from a hanging primary as soon as the state changes."""
        while True:
            self._storage.change_signal.wait(1.0)
            if (
                self._pull_greenlet is not None
                and self._storage.generation != self._pull_generation
            ):
                self._pull_greenlet.kill(block=False)
                self._pull_greenlet = None

    def _pull(self) -> bool:
        storage = self._storage
        state, generation = storage.state, storage.generation
        if state.primary_control is None or self._faults.is_cut_off(state.primary or "", "targets"):
            return False
        request = PullRequest(
            term=state.term,
            after=storage.last_position,
            runs=None if storage.matched else storage.term_runs(),
            lag_ms=self._faults.ship_lag_ms,
            wait_ms=PULL_WAIT_MS,
        )
        client = self._client(state.primary_control)
        answer = client.request("POST", "/pull", _ENCODER.encode(request), PULL_TIMEOUT_S)
        # Discard an answer if the state has changed since the request.
        if storage.generation != generation or isinstance(answer, Failure):
            return storage.generation != generation
        if self._faults.is_cut_off(state.primary or "", "targets"):
            return False
        response = answer.unwrap()
        if response.status != 200:
            return False
        return self._process_answer(_ANSWER_DECODER.decode(response.body))

    def _process_answer(self, answer: PullAnswer) -> bool:
        storage = self._storage
        storage.primary_heard_at = time.monotonic()
        if answer.match < 0:
            storage.set_matched(False)
            return False
        if not storage.matched:
            storage.truncate(answer.match)
            storage.set_matched(True)
        storage.append_received(answer.entries)
        self._apply_due()
        return True

    def _client(self, address: Address) -> HttpClient:
        if address not in self._clients:
            headers = identity_headers("targets", self._storage.name)
            self._clients[address] = HttpClient(address, headers, TrafficPurpose.CONTROL)
        return self._clients[address]

    def _apply_loop(self) -> None:
        while True:
            due = self._apply_due()
            self._storage.change_signal.wait(1.0 if due is None else max(due, 0.0005))

    def _apply_due(self) -> float | None:
        """Applies the entries that are due; returns the seconds until the next one, or None."""
        storage = self._storage
        now, lag_s = time.monotonic(), self._faults.apply_lag_ms / 1000
        upto = storage.applied_position
        while (
            upto < storage.last_position.position and storage.received_at(upto + 1) + lag_s <= now
        ):
            upto += 1
        storage.apply(upto)
        if upto == storage.last_position.position:
            return None
        return storage.received_at(upto + 1) + lag_s - now
