"""What callers were told, and whether the log and later answers agree with it."""

import attrs

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome
from siskindale.models.wire import Answer
from tests.fakes.database import WRITE


class ViolationError(AssertionError):
    """A guarantee was broken."""


@attrs.define(eq=False)
class Caller:
    """Session of a caller; `own` are its acknowledged writes."""

    name: str
    position: LogPosition = LogPosition()
    own: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class Asked:
    """A request with its answer; `must` is what a read has to see."""

    session: Caller
    kind: str
    write: str = ""
    attempt: str = ""
    keyed: bool = False
    transaction: "Asked | None" = None
    pool: int = 0
    request_id: str = ""
    must: frozenset[str] = frozenset()
    done: list[str] = attrs.field(factory=list)
    answer: Answer | None = None


class Oracle:
    """Guarantees of section 1 of the design page, in the simplest form."""

    def __init__(self) -> None:
        self.requests: list[Asked] = []
        self.acknowledged: dict[str, float] = {}
        self.never_ran: set[str] = set()
        self.owners: dict[str, object] = {}
        self.committed: list[list[str]] = []

    def asked(self, asked: Asked, now: float) -> None:
        """Notes a request with what was acknowledged before it."""
        self.requests.append(asked)
        if asked.kind == "read":
            asked.must = frozenset(self.acknowledged)
        elif asked.kind == "bounded":
            asked.must = frozenset(asked.session.own)
        if asked.write:
            self.owners[asked.attempt] = asked.transaction or asked.attempt

    def answered(self, asked: Asked, answer: Answer, now: float) -> None:
        """Checks an answer."""
        if asked.answer is not None:
            raise ViolationError(f"{asked.request_id} was answered twice")
        if answer.request_id != asked.request_id:
            raise ViolationError(f"{asked.request_id} got the answer to {answer.request_id}")
        asked.answer = answer
        if answer.outcome is Outcome.NOT_RUN and asked.kind in ("write", "statement"):
            self.never_ran.add(asked.attempt)
        if answer.outcome is Outcome.DONE:
            self._done(asked, answer, now)

    def _done(self, asked: Asked, answer: Answer, now: float) -> None:
        if asked.kind in ("read", "bounded"):
            self._check_read(asked, answer, now)
        elif asked.kind == "write":
            self._acknowledge(asked.session, [asked.write], now)
        elif asked.kind == "statement" and asked.transaction is not None:
            asked.transaction.done.append(asked.write)
        elif asked.kind == "commit" and asked.transaction is not None:
            self.committed.append(asked.transaction.done)
            self._acknowledge(asked.session, asked.transaction.done, now)
        asked.session.position = max(asked.session.position, answer.position)

    def _acknowledge(self, session: Caller, writes: list[str], now: float) -> None:
        for write in writes:
            self.acknowledged.setdefault(write, now)
            session.own.add(write)

    def _check_read(self, asked: Asked, answer: Answer, now: float) -> None:
        assert answer.result is not None
        rows = {row[0] for row in answer.result.rows}
        missing = asked.must - rows
        if missing:
            raise ViolationError(f"{asked.kind} read misses {sorted(missing)}")
        if answer.age_ms is not None:
            before = now - answer.age_ms / 1000
            old = {write for write, at in self.acknowledged.items() if at < before - 1e-6}
            if old - rows:
                raise ViolationError(f"read is older than its proved age: {sorted(old - rows)}")

    def check_log(self, entries: list[object]) -> None:
        """Checks the log of a writable primary."""
        writes: list[str] = []
        for entry in entries:
            assert isinstance(entry, tuple)
            ran = [params for sql, params in entry if sql == WRITE]
            owners = {id(self.owners[attempt]) for _, attempt in ran}
            if len(owners) > 1:
                raise ViolationError(f"transactions are mixed: {ran}")
            writes += [write for write, _ in ran]
            attempts = {attempt for _, attempt in ran}
            if attempts & self.never_ran:
                raise ViolationError(f"not run, but in the log: {attempts & self.never_ran}")
        if len(set(writes)) != len(writes):
            raise ViolationError("a write ran twice")
        if set(self.acknowledged) - set(writes):
            lost = set(self.acknowledged) - set(writes)
            raise ViolationError(f"acknowledged writes are lost: {sorted(lost)}")
        self._check_commits([[p[0] for sql, p in e if sql == WRITE] for e in entries])  # type: ignore[attr-defined]

    def _check_commits(self, ran: list[list[str]]) -> None:
        for done in self.committed:
            if done and done not in ran:
                raise ViolationError(f"a transaction is not whole in the log: {done}")

    def check_answered(self) -> None:
        """Checks that no request was forgotten."""
        open_ = [asked.request_id for asked in self.requests if asked.answer is None]
        if open_:
            raise ViolationError(f"requests without an answer: {open_}")
