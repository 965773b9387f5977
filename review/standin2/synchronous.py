"""A group that acknowledges a commit once a replica has received it, on targets with slots.

A target works on two statements at a time; more of them wait.
"""

import math
import time
from random import Random
from typing import Any

import attrs
import gevent
from gevent.lock import Semaphore

from review.standin2 import lab as lab_module
from review.standin2.lab import CuttableTarget, Group, Lab
from siskindale.models.address import Address
from standins.deployment.group import LogEntry, TargetStandin

SLOTS = 2
MAX_QUEUE = 16
# Seconds that a statement occupies a slot, as on the sheet of the small deployment.
WORK_S = {b"READ": 0.009, b"EXEC": 0.009, b"WRITE": 0.003, b"COMMIT": 0.003}
CONTROL_WORK_S = 0.003
CONTROL = (b"STATUS", b"PAUSE", b"RESUME")
# How late replicas are on the sheet of the small deployment: mean, spread and maximum.
LAG_MEAN_S = 0.02
LAG_SPREAD = 0.6
LAG_MAX_S = 0.12


@attrs.frozen
class Commit:
    """A commit that the primary has acknowledged, and the data of its writes."""

    term: int
    number: int
    at: float
    data: tuple[str, ...]


class SlotTarget(CuttableTarget):
    """A target with slots."""

    def start(self) -> None:
        """Starts to accept connections."""
        self.slots = Semaphore(SLOTS)
        self.waiting = 0
        super().start()


class _SlotSession(lab_module._Session):
    def _run_statement(self, request_id: bytes, text: bytes) -> bytes:
        target: Any = self._target
        body = text.split(b" ", 2)[2] if text.startswith(b"AFTER ") else text
        verb = body.split(b" ")[0]
        work_s = CONTROL_WORK_S if verb in CONTROL else WORK_S.get(verb, 0.0)
        if work_s:
            if target.waiting >= MAX_QUEUE:
                return b"ERR BUSY -\r\n"
            target.waiting += 1
            try:
                with target.slots:
                    gevent.sleep(work_s * target.group.random.uniform(0.4, 1.8))
            finally:
                target.waiting -= 1
        reply = super()._run_statement(request_id, text)
        if verb in CONTROL[1:]:
            target.group.note(f"{target.id} {body.decode()} -> {reply.decode().split(chr(13))[0]}")
        return reply


class SynchronousGroup(Group):
    """A group with one synchronous replica, which notes acknowledged commits that are lost."""

    def __init__(self, name: str, lab: Lab, seed: int) -> None:
        super().__init__(name, synchronous_replicas=1)
        self.random = Random(seed)
        self._lab = lab
        self.acknowledged: list[Commit] = []
        self.lost: list[Commit] = []
        self._arrivals: dict[str, float] = {}

    def note(self, text: str) -> None:
        """Records a line."""
        self._lab.record.write("control", text)

    def add(
        self, target_id: str, address: Address, primary: bool, max_connections: int
    ) -> SlotTarget:
        """Adds and starts a target."""
        target = SlotTarget(target_id, self, address, primary, max_connections)
        target.note = lambda text: None
        self.targets[target_id] = target
        target.start()
        return target

    def commit(self, target: TargetStandin, writes: list[tuple[bytes, bytes]]) -> None:
        """Commits on the primary and returns once a replica has received the commit."""
        if not target.primary:
            raise ConnectionError("the target has lost the lead")
        term = self.term
        number = (target.log[-1][1] if target.log else 0) + 1
        entries = [(term, number, item, data) for item, data in writes]
        target.log += entries
        shipped = list(target.log)
        for replica in self.targets.values():
            if replica is not target:
                self._send(replica, term, shipped)
        end = len(shipped)
        while not any(
            len(t.log) >= end and t.log[end - 1] == entries[-1]
            for t in self.targets.values()
            if t is not target
        ):
            gevent.sleep(0.001)
            if term != self.term or target.server is None:
                raise ConnectionError("the target ended or lost the lead before the commit")
            if number != target.log[-1][1]:
                continue
            # A replica that was stopped and resumed gets what it missed.
            for replica in self.targets.values():
                if self.random.random() < 0.02 and replica is not target:
                    self._ship(replica, term, list(target.log))
        data = tuple(value.decode() for _, value in writes)
        self.acknowledged.append(Commit(term, number, time.monotonic(), data))

    def _send(self, replica: TargetStandin, term: int, log: list[LogEntry]) -> None:
        """Sends the log as of a commit to a replica; commits arrive in their order."""
        now = time.monotonic()
        arrival = max(self._arrivals.get(replica.id, 0.0), now + self._lag_s())
        self._arrivals[replica.id] = arrival
        gevent.spawn_later(arrival - now, self._ship, replica, term, log)

    def _lag_s(self) -> float:
        logarithm = math.log(LAG_MEAN_S) - LAG_SPREAD**2 / 2
        return min(LAG_MAX_S, self.random.lognormvariate(logarithm, LAG_SPREAD))

    def _ship(self, replica: TargetStandin, term: int, log: list[LogEntry]) -> None:
        """Brings a replica up to the log, unless it is cut off or has ended."""
        assert isinstance(replica, CuttableTarget)
        if replica.server is not None and replica.reachable.is_set():
            super()._ship(replica, term, log)

    def promote(self, target_id: str) -> bool:
        """Makes a target lead with what it has received, and notes what it lacks."""
        successor = self.targets[target_id]
        if successor.server is not None and not successor.primary:
            held = {entry[:2] for entry in successor.log}
            base = {entry[:2] for t in self.targets.values() for entry in t.log}
            for commit in self.acknowledged:
                position = (commit.term, commit.number)
                if position in base and position not in held:
                    self.lost.append(commit)
                    age_ms = (time.monotonic() - commit.at) * 1000
                    self._lab.record.write(
                        "broken",
                        f"commit {commit.term}.{commit.number}, acknowledged {age_ms:.0f} ms ago, "
                        f"is not in the log of {target_id}, which ends at "
                        f"{successor.position.decode()} and leads now",
                    )
        return super().promote(target_id)


def use_slots() -> None:
    """Makes targets serve their connections with slots."""
    lab_module._Session = _SlotSession  # type: ignore[misc]
