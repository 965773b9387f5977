"""Callers of the HTTP API: sessions that roam over the entries and record every request."""

import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from uuid6 import uuid7

from bench import schema
from bench.experiment import Workload
from bench.history import CUT, DONE, NOT_SENT, UNKNOWN, Event
from siskindale.models.address import Address
from siskindale.transport.http import HttpClient, HttpResponse
from siskindale.transport.metrics import TrafficPurpose

DEADLINE = "Siskindale-Deadline-Ms"
MAX_KEPT = 256
# A response that comes a little after the deadline is still an answer.
RESPONSE_MARGIN_S = 1.0
# A load balancer passes over an entry that refuses connections for this time.
AVOID_S = 0.5

_ENCODER = msgspec.json.Encoder()


@attrs.frozen
class Access:
    """What the load generator needs to know of a deployment.

    `classes` maps the kinds of operations to the statement classes of the bundle.
    """

    entries: dict[str, Address]
    token: str
    databases: tuple[str, ...]
    classes: dict[str, str]


@attrs.define
class Session:
    """State of a caller's session; `seqs` numbers its writes by database."""

    name: str
    vm: str
    token: str = ""
    seqs: dict[str, int] = attrs.field(factory=dict)
    count: int = 0

    def next_uid(self) -> str:
        """Returns an identifier that no other operation has."""
        self.count += 1
        return f"{self.name}-{self.count}"

    def next_seq(self, database: str) -> int:
        """Returns the number of the next write."""
        self.seqs[database] = self.seqs.get(database, 0) + 1
        return self.seqs[database]


@attrs.frozen
class Answer:
    """Decoded answer to a request."""

    outcome: str
    sent_at: float
    ended_at: float
    deadline_ms: float = 0.0
    status: int = 0
    body: dict[str, Any] = attrs.field(factory=dict)
    problem: str = ""

    @property
    def rows(self) -> list[list[Any]]:
        """Rows of the result."""
        return self.body.get("rows") or []

    def cell(self, column: int) -> Any:
        """Returns a value of the first row, None where there is none."""
        return self.rows[0][column] if self.rows and len(self.rows[0]) > column else None


Recorder = Callable[[Event], None]
Operation = Callable[["Callers", Session, str, float], None]


class Callers:
    """Runs operations of sessions; each method is one operation and records its requests."""

    def __init__(
        self,
        access: Access,
        workload: Workload,
        random: Random,
        record: Recorder,
        prefix: str = "s",
    ) -> None:
        headers = {
            "Authorization": f"Bearer {access.token}",
            "Content-Type": "application/json",
        }
        self._access = access
        self._workload = workload
        self._random = random
        self._record = record
        self._prefix = prefix
        self._vms = list(access.entries)
        self._avoided: dict[str, float] = {}
        self._clients = {
            vm: HttpClient(address, headers, TrafficPurpose.STATEMENTS, MAX_KEPT)
            for vm, address in access.entries.items()
        }

    def new_session(self, number: int) -> Session:
        """Returns a session at a random entry; its name is unique in the experiment."""
        return Session(f"{self._prefix}{number}", self._random.choice(self._vms))

    def run(self, kind: str, session: Session, due_at: float) -> None:
        """Runs one operation of a kind in a random database."""
        if self._random.random() < self._workload.roaming:
            session.vm = self._choose()
        database = self._random.choice(self._access.databases)
        OPERATIONS[kind](self, session, database, due_at)

    def read(self, session: Session, database: str, due_at: float, kind: str) -> None:
        """Reads the largest own write."""
        nonce = session.next_uid()
        params = [nonce, session.name]
        answer = self._statement(session, database, kind, "read", schema.READ_OWN, params)
        self._record(
            self._event(
                kind, session, database, due_at, answer, nonce, seen=answer.cell(1), expected_rows=1
            )
        )

    def read_large(self, session: Session, database: str, due_at: float) -> None:
        """Reads a result of many rows."""
        nonce, rows = session.next_uid(), self._workload.large_rows
        answer = self._statement(
            session, database, "large", "read", schema.READ_LARGE, [rows, nonce]
        )
        event = self._event("large", session, database, due_at, answer, nonce, expected_rows=rows)
        self._record(event)

    def write(self, session: Session, database: str, due_at: float) -> None:
        """Writes once."""
        self._write(session, database, due_at, "write", session.next_uid(), self._deadline())

    def keyed_write(self, session: Session, database: str, due_at: float) -> None:
        """Writes with a key, and again with the same key while the outcome is not known."""
        uid, key = session.next_uid(), {"Idempotency-Key": str(uuid7())}
        seq = session.next_seq(database)
        resend = self._random.random() < self._workload.resend
        for attempt in range(1, self._workload.keyed_attempts + 1):
            headers = {**key, **(self._deadline() if attempt == 1 else {})}
            outcome = self._write(
                session, database, due_at, "keyed", uid, headers, attempt=attempt, seq=seq
            )
            if outcome not in (UNKNOWN, CUT) and not (resend and outcome == DONE):
                return
            resend = False
            session.vm = self._choose()

    def transaction(self, session: Session, database: str, due_at: float) -> None:
        """Updates two registers and adds an event in one transaction."""
        _Transaction(self, session, database, due_at, self._random, self._workload).run()

    def post(self, session: Session, path: str, body: Any, headers: Mapping[str, str]) -> Answer:
        """Sends a request in a session and takes the session's new token from the answer.

        An entry that refuses the connection is replaced by another, as by a load balancer.
        """
        answer = self._post(session, path, body, headers)
        for _ in range(len(self._vms) - 1):
            if answer.outcome != NOT_SENT:
                break
            self._avoided[session.vm] = time.monotonic() + AVOID_S
            session.vm = self._choose()
            answer = self._post(session, path, body, headers)
        return answer

    def _choose(self) -> str:
        """Returns a random entry among those that accepted connections recently."""
        now = time.monotonic()
        good = [vm for vm in self._vms if self._avoided.get(vm, 0.0) < now]
        return self._random.choice(good or self._vms)

    def _post(self, session: Session, path: str, body: Any, headers: Mapping[str, str]) -> Answer:
        sent_at = time.monotonic()
        own = {"Siskindale-Session": session.token} if session.token else {}
        sent = {DEADLINE: str(self._workload.deadline_ms), **own, **headers}
        deadline_ms = float(sent[DEADLINE])
        answer = self._clients[session.vm].request(
            "POST", path, _ENCODER.encode(body), deadline_ms / 1000 + RESPONSE_MARGIN_S, sent
        )
        ended_at = time.monotonic()
        if isinstance(answer, Failure):
            failure = answer.failure()
            outcome = CUT if failure.maybe_sent else NOT_SENT
            return Answer(outcome, sent_at, ended_at, deadline_ms, problem=failure.detail[:100])
        response = answer.unwrap()
        session.token = response.headers.get("siskindale-session", session.token)
        return _decode(response, Answer(CUT, sent_at, ended_at, deadline_ms, response.status))

    def _deadline(self) -> dict[str, str]:
        """Returns the header of a deadline that may pass before or after the write ran."""
        if self._random.random() >= self._workload.hasty:
            return {}
        return {DEADLINE: str(self._workload.hasty_ms)}

    def record(self, event: Event) -> None:
        """Records an event."""
        self._record(event)

    def class_of(self, kind: str) -> str:
        """Returns the statement class of a kind of operation."""
        return self._access.classes[kind]

    def _write(
        self,
        session: Session,
        database: str,
        due_at: float,
        kind: str,
        uid: str,
        headers: Mapping[str, str],
        attempt: int = 1,
        seq: int | None = None,
    ) -> str:
        number = session.next_seq(database) if seq is None else seq
        params = [uid, session.name, number]
        answer = self._statement(
            session, database, kind, "write", schema.WRITE_EVENT, params, headers
        )
        event = self._event(
            kind, session, database, due_at, answer, uid, uid=uid, seq=number, attempt=attempt,
            expected_rows=1,
        )  # fmt: skip
        self._record(event)
        return answer.outcome

    def _statement(
        self,
        session: Session,
        database: str,
        kind: str,
        access: str,
        sql: str,
        params: list[Any],
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        body = {
            "sql": schema.with_cost(sql, self._workload.cost_ms),
            "params": params,
            "access": access,
            "class": self.class_of(kind),
        }
        path = f"/v1/databases/{database}/statements"
        return self.post(session, path, body, headers or {})

    def _event(
        self,
        kind: str,
        session: Session,
        database: str,
        due_at: float,
        answer: Answer,
        nonce: str,
        **fields: Any,
    ) -> Event:
        return event_of(kind, session, database, due_at, answer, nonce, self.class_of(kind), fields)


def event_of(
    kind: str,
    session: Session,
    database: str,
    due_at: float,
    answer: Answer,
    nonce: str,
    statement_class: str,
    fields: Mapping[str, Any],
) -> Event:
    """Returns the event of a request and its answer."""
    served = answer.body.get("served_by") or {}
    return Event(
        kind=kind,
        session=session.name,
        database=database,
        vm=session.vm,
        due_at=due_at,
        sent_at=answer.sent_at,
        ended_at=answer.ended_at,
        outcome=answer.outcome,
        statement_class=statement_class,
        status=answer.status,
        problem=answer.problem,
        deadline_ms=answer.deadline_ms,
        nonce=nonce,
        echo=str(answer.cell(0)) if answer.rows else "",
        rows=len(answer.rows),
        target=served.get("target", ""),
        role=served.get("role", ""),
        age_ms=answer.body.get("age_ms"),
        **fields,
    )


def _decode(response: HttpResponse, unread: Answer) -> Answer:
    try:
        body = msgspec.json.decode(response.body, type=dict)
        outcome = body["outcome"]
    except (msgspec.MsgspecError, KeyError) as error:
        return attrs.evolve(unread, problem=f"malformed: {error!r:.80}")
    problem = str(body.get("type", "")).rpartition(":")[2]
    return attrs.evolve(unread, outcome=outcome, body=body, problem=problem)


@attrs.define
class _Transaction:
    callers: Callers
    session: Session
    database: str
    due_at: float
    random: Random
    workload: Workload
    uid: str = ""
    path: str = ""
    reads: dict[str, str] = attrs.field(factory=dict)
    writes: dict[str, str] = attrs.field(factory=dict)

    def run(self) -> None:
        """Runs all requests; a failure rolls back and ends the transaction."""
        self.uid = self.session.next_uid()
        seq = self.session.next_seq(self.database)
        started = time.monotonic()
        body = {"class": self.callers.class_of("transaction")}
        begun = self._post("begin", f"/v1/databases/{self.database}/transactions", body, "")
        if begun.outcome != DONE:
            return
        self.path = f"/v1/transactions/{begun.body['transaction']}"
        names = schema.register_names(self.workload.registers)
        chosen = self.random.sample(names, 2)
        if all(self._update(name) for name in chosen) and self._insert(seq):
            finish = "rollback" if self.random.random() < self.workload.rollback else "commit"
        else:
            finish = "rollback"
        ended = self._post(finish, f"{self.path}/{finish}", {}, "")
        self._summarise(finish, ended, seq, started)

    def _update(self, name: str) -> bool:
        nonce = self.session.next_uid()
        read = self._statement(schema.READ_REGISTER, [nonce, name], nonce)
        if read.outcome != DONE:
            return False
        self.reads[name] = str(read.cell(1))
        written = self._statement(schema.WRITE_REGISTER, [self.uid, name], self.uid)
        if written.outcome != DONE:
            return False
        self.writes[name] = self.uid
        return True

    def _insert(self, seq: int) -> bool:
        params = [self.uid, self.session.name, seq]
        return self._statement(schema.WRITE_EVENT, params, self.uid).outcome == DONE

    def _statement(self, sql: str, params: list[Any], nonce: str) -> Answer:
        body = {"sql": schema.with_cost(sql, self.workload.cost_ms), "params": params}
        return self._post("statement", f"{self.path}/statements", body, nonce)

    def _post(self, kind: str, path: str, body: Any, nonce: str) -> Answer:
        sent_at = time.monotonic()
        due_at = self.due_at if kind == "begin" else sent_at
        answer = self.callers.post(self.session, path, body, {})
        fields = {"expected_rows": 1 if nonce else None}
        statement_class = self.callers.class_of("transaction")
        self.callers.record(
            event_of(
                kind, self.session, self.database, due_at, answer, nonce, statement_class, fields
            )
        )
        return answer

    def _summarise(self, finish: str, ended: Answer, seq: int, started: float) -> None:
        """Records the whole transaction; a rolled back one counts as never run."""
        outcome = ended.outcome
        if finish == "rollback":
            outcome = "rolled_back"
        fields = {"uid": self.uid, "seq": seq, "reads": self.reads, "writes": self.writes}
        answer = attrs.evolve(ended, outcome=outcome, sent_at=started)
        statement_class = self.callers.class_of("transaction")
        event = event_of(
            "transaction", self.session, self.database, self.due_at, answer, "", statement_class,
            fields,
        )  # fmt: skip
        self.callers.record(event)


OPERATIONS: dict[str, Operation] = {
    "browse": lambda callers, session, database, due_at: callers.read(
        session, database, due_at, "browse"
    ),
    "strict": lambda callers, session, database, due_at: callers.read(
        session, database, due_at, "strict"
    ),
    "large": Callers.read_large,
    "write": Callers.write,
    "keyed": Callers.keyed_write,
    "transaction": Callers.transaction,
}
