"""Oracle: checks that the log and later answers agree with the answers that callers received."""

import attrs

from siskindale.models.group import LogPosition
from siskindale.models.outcomes import Outcome
from siskindale.models.wire import Answer
from tests.fakes.database import WRITE


class ViolationError(AssertionError):
    """A guarantee was broken."""


@attrs.define(eq=False)
class Session:
    """Session of a caller; `own_writes` are its acknowledged writes."""

    name: str
    position: LogPosition = LogPosition()
    own_writes: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class SentRequest:
    """A request with its answer; `required_writes` are the writes that a read must return."""

    session: Session
    kind: str
    write: str = ""
    attempt: str = ""
    keyed: bool = False
    transaction: "SentRequest | None" = None
    pool: int = 0
    request_id: str = ""
    required_writes: frozenset[str] = frozenset()
    completed_writes: list[str] = attrs.field(factory=list)
    answer: Answer | None = None


class Oracle:
    """Checks the guarantees of section 1 of the design page, in their simplest form."""

    def __init__(self) -> None:
        self.requests: list[SentRequest] = []
        self.acknowledged: dict[str, float] = {}
        self.not_run_attempts: set[str] = set()
        self.owner_by_attempt: dict[str, object] = {}
        self.committed_transactions: list[list[str]] = []

    def request_sent(self, sent: SentRequest, now: float) -> None:
        """Records a request and the writes that were acknowledged before it."""
        self.requests.append(sent)
        if sent.kind == "read":
            sent.required_writes = frozenset(self.acknowledged)
        elif sent.kind == "bounded":
            sent.required_writes = frozenset(sent.session.own_writes)
        if sent.write:
            self.owner_by_attempt[sent.attempt] = sent.transaction or sent.attempt

    def answer_received(self, sent: SentRequest, answer: Answer, now: float) -> None:
        """Checks an answer and records its writes."""
        if sent.answer is not None:
            raise ViolationError(f"{sent.request_id} was answered twice")
        if answer.request_id != sent.request_id:
            raise ViolationError(f"{sent.request_id} got the answer to {answer.request_id}")
        sent.answer = answer
        if answer.outcome is Outcome.NOT_RUN and sent.kind in ("write", "statement"):
            self.not_run_attempts.add(sent.attempt)
        if answer.outcome is Outcome.DONE:
            self._check_done(sent, answer, now)

    def _check_done(self, sent: SentRequest, answer: Answer, now: float) -> None:
        if sent.kind in ("read", "bounded"):
            self._check_read(sent, answer, now)
        elif sent.kind == "write":
            self._acknowledge(sent.session, [sent.write], now)
        elif sent.kind == "statement" and sent.transaction is not None:
            sent.transaction.completed_writes.append(sent.write)
        elif sent.kind == "commit" and sent.transaction is not None:
            self.committed_transactions.append(sent.transaction.completed_writes)
            self._acknowledge(sent.session, sent.transaction.completed_writes, now)
        sent.session.position = max(sent.session.position, answer.position)

    def _acknowledge(self, session: Session, writes: list[str], now: float) -> None:
        for write in writes:
            self.acknowledged.setdefault(write, now)
            session.own_writes.add(write)

    def _check_read(self, sent: SentRequest, answer: Answer, now: float) -> None:
        assert answer.result is not None
        rows = {row[0] for row in answer.result.rows}
        missing = sent.required_writes - rows
        if missing:
            raise ViolationError(f"{sent.kind} read misses {sorted(missing)}")
        if answer.age_ms is not None:
            before = now - answer.age_ms / 1000
            old = {write for write, at in self.acknowledged.items() if at < before - 1e-6}
            if old - rows:
                raise ViolationError(f"read is older than its proved age: {sorted(old - rows)}")

    def check_log(self, entries: list[object]) -> None:
        """Checks the log of a writable primary against the answers."""
        writes: list[str] = []
        for entry in entries:
            assert isinstance(entry, tuple)
            ran = [params for sql, params in entry if sql == WRITE]
            owners = {id(self.owner_by_attempt[attempt]) for _, attempt in ran}
            if len(owners) > 1:
                raise ViolationError(f"transactions are mixed: {ran}")
            writes += [write for write, _ in ran]
            attempts = {attempt for _, attempt in ran}
            if attempts & self.not_run_attempts:
                raise ViolationError(f"not run, but in the log: {attempts & self.not_run_attempts}")
        if len(set(writes)) != len(writes):
            raise ViolationError("a write ran twice")
        if set(self.acknowledged) - set(writes):
            lost = set(self.acknowledged) - set(writes)
            raise ViolationError(f"acknowledged writes are lost: {sorted(lost)}")
        self._check_commits([[p[0] for sql, p in e if sql == WRITE] for e in entries])  # type: ignore[attr-defined]

    def _check_commits(self, ran: list[list[str]]) -> None:
        for completed in self.committed_transactions:
            if completed and completed not in ran:
                raise ViolationError(f"a transaction is not whole in the log: {completed}")

    def check_all_answered(self) -> None:
        """Checks that every request was answered."""
        unanswered = [sent.request_id for sent in self.requests if sent.answer is None]
        if unanswered:
            raise ViolationError(f"requests without an answer: {unanswered}")
