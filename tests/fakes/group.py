"""Fake database group without threads or a clock; tests drive every step.

Terms, roles, fencing, markers and matching follow section 3.2 of the design page. Log entries are
shipped and applied only when the test calls `ship` and `apply`.
"""

import itertools

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.address import Address
from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role, TargetStatus
from siskindale.targets.interface import TargetError, TargetFailure

Reply = Result[TargetStatus, TargetError]


@attrs.frozen
class LogEntry:
    """Log entry; markers have `voters`, all other entries a `payload`."""

    at: LogPosition
    payload: object = None
    voters: tuple[str, ...] | None = None
    previous_voters: tuple[str, ...] = ()
    committed_at_s: float = 0.0


@attrs.define
class FakeTarget:
    """State of one target; `term`, `role`, `primary` and `log` survive a crash."""

    name: str
    term: int = 0
    role: Role = Role.REPLICA
    log: list[LogEntry] = attrs.field(factory=list)
    applied_position: int = 0
    primary: str | None = None
    matched: bool = False
    primary_heard_at: float | None = None
    up: bool = True
    paused: bool = False

    @property
    def last_position(self) -> LogPosition:
        """Log position of the last entry."""
        return self.log[-1].at if self.log else LogPosition()

    @property
    def marker(self) -> LogEntry | None:
        """Latest marker in the log."""
        return next((e for e in reversed(self.log) if e.voters is not None), None)

    def has_entry(self, at: LogPosition) -> bool:
        """Returns whether the log contains the entry at that term and position."""
        return 0 < at.position <= len(self.log) and self.log[at.position - 1].at == at


def bundle_target(name: str, port: int = 1) -> Target:
    """Returns the bundle entry for a fake target."""
    address = Address("127.0.0.1", port)
    return Target(name, f"domain-{name}", address, address)


class FakeGroup:
    """Targets and the network links between parties: targets, controllers and pools.

    Entries are shipped once they are at least `lag_s` old.
    """

    def __init__(self, names: str | tuple[str, ...] = "abc", lag_s: float = 0.0) -> None:
        self.targets = {name: FakeTarget(name) for name in names}
        self.now = 0.0
        self.lag_s = lag_s
        self._cut: set[frozenset[str]] = set()

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two parties."""
        self._cut.add(frozenset((one, other)))

    def isolate(self, party: str, others: tuple[str, ...] = ()) -> None:
        """Cuts the links from a party to all targets and to `others`."""
        for other in {*self.targets, *others} - {party}:
            self.cut(party, other)

    def heal(self) -> None:
        """Restores all links."""
        self._cut.clear()

    def can_reach(self, one: str, other: str) -> bool:
        """Returns whether two parties can communicate; parties other than targets are always up."""
        running = all(
            t.up and not t.paused for n in (one, other) if (t := self.targets.get(n)) is not None
        )
        return running and frozenset((one, other)) not in self._cut

    def crash(self, name: str) -> None:
        """Stops a target; its log is kept."""
        self.targets[name].up = False

    def restart(self, name: str) -> None:
        """Restarts a target; a replica must match its log again before it confirms writes."""
        target = self.targets[name]
        target.up, target.primary_heard_at, target.applied_position = (
            True,
            None,
            min(target.applied_position, len(target.log)),
        )
        target.matched = target.role is Role.PRIMARY

    def primaries(self) -> list[FakeTarget]:
        """Returns the targets that consider themselves primary, ordered by term."""
        primaries = (t for t in self.targets.values() if t.role is Role.PRIMARY)
        return sorted(primaries, key=lambda t: t.term)

    def control_client(self, caller: str, name: str) -> "FakeControlClient":
        """Returns a control client that calls a target on behalf of a party."""
        return FakeControlClient(self, caller, name)

    def status(self, name: str) -> TargetStatus:
        """Returns the status of a target, ignoring links."""
        target = self.targets[name]
        marker = target.marker
        heard_ms = (
            None if target.primary_heard_at is None else (self.now - target.primary_heard_at) * 1000
        )
        return TargetStatus(
            name=name,
            term=target.term,
            role=target.role,
            log=target.last_position,
            applied_position=target.applied_position,
            matched=target.matched,
            voters=(marker.voters or ()) if marker else (),
            previous_voters=marker.previous_voters if marker else (),
            marker=marker.at if marker else LogPosition(),
            primary=target.primary,
            primary_heard_ms=heard_ms if target.role is Role.REPLICA else None,
        )

    def write(self, caller: str, name: str, payload: object) -> Result[LogPosition, TargetError]:
        """Commits and applies a write on a target that considers itself primary."""
        if not self.can_reach(caller, name):
            return Failure(TargetError(TargetFailure.UNREACHABLE, name))
        target = self.targets[name]
        if target.role is not Role.PRIMARY:
            return Failure(TargetError(TargetFailure.ROLE, target.role))
        return Success(self.append_entry(target, payload=payload))

    def read(self, caller: str, name: str) -> Result[list[object], TargetError]:
        """Returns the payloads of the entries that a target has applied."""
        if not self.can_reach(caller, name):
            return Failure(TargetError(TargetFailure.UNREACHABLE, name))
        target = self.targets[name]
        return Success(
            [e.payload for e in target.log[: target.applied_position] if e.voters is None]
        )

    def ship(self, name: str, count: int = 1_000_000) -> int:
        """Lets a replica match its log with its primary and fetch up to `count` due entries."""
        target = self.targets[name]
        source = self.targets.get(target.primary or "")
        if (
            target.role is not Role.REPLICA
            or source is None
            or not self.can_reach(name, source.name)
        ):
            return 0
        if source.role is not Role.PRIMARY or source.term != target.term:
            return 0
        target.primary_heard_at = self.now
        if not target.matched:
            pairs = zip(target.log, source.log, strict=False)
            equal = sum(
                1 for _ in itertools.takewhile(lambda pair: pair[0].at == pair[1].at, pairs)
            )
            del target.log[equal:]
            target.applied_position, target.matched = min(target.applied_position, equal), True
        rest = source.log[len(target.log) : len(target.log) + count]
        due = list(itertools.takewhile(lambda e: e.committed_at_s + self.lag_s <= self.now, rest))
        target.log.extend(due)
        return len(due)

    def apply(self, name: str, count: int = 1_000_000) -> None:
        """Applies up to `count` more entries of a target."""
        target = self.targets[name]
        target.applied_position = min(len(target.log), target.applied_position + count)

    def replicate_all(self) -> None:
        """Ships and applies all entries that links and lag allow."""
        for name in self.targets:
            self.ship(name)
            self.apply(name)

    def append_entry(
        self,
        target: FakeTarget,
        payload: object = None,
        voters: tuple[str, ...] | None = None,
        previous: tuple[str, ...] = (),
    ) -> LogPosition:
        at = LogPosition(target.term, len(target.log) + 1)
        target.log.append(LogEntry(at, payload, voters, previous, self.now))
        target.applied_position = len(target.log)
        return at


@attrs.frozen
class FakeControlClient:
    """Control client of `caller` for one target; calls return immediately."""

    group: FakeGroup
    caller: str
    name: str

    def status(self, timeout_s: float = 1.0) -> Reply:
        """Returns the status."""
        return self._reply()

    def wait_position(self, term: int, position: int, timeout_s: float = 1.0) -> Reply:
        """Returns the status immediately, as after a timeout."""
        return self._reply()

    def fence(self, term: int, timeout_s: float = 1.0) -> Reply:
        """Fences the target in a higher term."""
        target = self.group.targets[self.name]
        if self._is_reachable() and term <= target.term:
            return self._refuse(TargetFailure.TERM)
        if self._is_reachable():
            target.term, target.role = term, Role.FENCED
            target.primary, target.matched, target.primary_heard_at = None, False, None
        return self._reply()

    def promote(self, term: int, voters: tuple[str, ...], timeout_s: float = 1.0) -> Reply:
        """Promotes a target that is fenced in exactly this term, and writes the marker."""
        target = self.group.targets[self.name]
        if self._is_reachable() and term != target.term:
            return self._refuse(TargetFailure.TERM)
        if self._is_reachable() and target.role is not Role.FENCED:
            return self._refuse(TargetFailure.ROLE)
        if self._is_reachable():
            marker = target.marker
            target.role, target.matched = Role.PRIMARY, True
            self.group.append_entry(target, None, voters, (marker.voters or ()) if marker else ())
        return self._reply()

    def follow(self, term: int, primary: Target, timeout_s: float = 1.0) -> Reply:
        """Makes the target a replica of `primary` in its current term or a newer one."""
        target = self.group.targets[self.name]
        if self._is_reachable() and term < target.term:
            return self._refuse(TargetFailure.TERM)
        if self._is_reachable() and term == target.term and target.role is Role.PRIMARY:
            return self._refuse(TargetFailure.ROLE)
        if self._is_reachable() and (term, primary.name) != (target.term, target.primary):
            target.term, target.role, target.primary = term, Role.REPLICA, primary.name
            target.matched, target.primary_heard_at = False, None
        return self._reply()

    def close(self) -> None:
        """Does nothing."""

    def _is_reachable(self) -> bool:
        return self.group.can_reach(self.caller, self.name)

    def _refuse(self, kind: TargetFailure) -> Reply:
        target = self.group.targets[self.name]
        return Failure(TargetError(kind, f"{target.role} at term {target.term}"))

    def _reply(self) -> Reply:
        if not self._is_reachable():
            return Failure(TargetError(TargetFailure.UNREACHABLE, self.name))
        return Success(self.group.status(self.name))
