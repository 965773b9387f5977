"""History of an experiment: one JSON line for each request and each transaction."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec

DONE = "done"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
# The caller's connection broke or timed out; as with `unknown`, the request may have run.
CUT = "cut"
# The caller could not connect, so the request was not sent.
NOT_SENT = "not_sent"

NEVER_RAN_OUTCOMES = (NOT_RUN, NOT_SENT)


@attrs.frozen
class Event:
    """A request, or a whole transaction (kind "transaction").

    Times are monotonic seconds of the load generator; `due_at` is when the operation should have
    started. `uid` identifies a write; all attempts of a keyed write share it. `seq` numbers the
    writes of a session in a database. `seen` is the largest `seq` of the session's own writes that
    a read returned. `echo` is the value that the answer returned for `nonce`. `reads` and `writes`
    are the values of registers that a transaction read and wrote.
    """

    kind: str
    session: str
    database: str
    vm: str
    due_at: float
    sent_at: float
    ended_at: float
    outcome: str
    statement_class: str = ""
    status: int = 0
    problem: str = ""
    uid: str = ""
    attempt: int = 1
    seq: int = 0
    seen: int | None = None
    nonce: str = ""
    echo: str = ""
    rows: int = 0
    expected_rows: int | None = None
    target: str = ""
    role: str = ""
    age_ms: float | None = None
    deadline_ms: float = 0.0
    reads: dict[str, str] = attrs.field(factory=dict)
    writes: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class FaultEvent:
    """An injected fault; `found` holds what its action returned, such as the target it hit."""

    at: float
    action: str
    options: dict[str, Any]
    found: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class BundleSample:
    """Bundle version in effect in a program, 0 if there is none, -1 if it did not respond."""

    at: float
    program: str
    version: int


@attrs.frozen
class FinalState:
    """Content of a database on its primary after the experiment.

    `events` holds (uid, session, seq), `registers` the value of each register.
    """

    database: str
    primary: str
    events: list[tuple[str, str, int]]
    registers: dict[str, str]


@attrs.frozen
class Record:
    """Input of the checks.

    `exit_statuses` holds the programs that got SIGTERM; None means that one had to be killed.
    """

    events: list[Event]
    faults: list[FaultEvent] = attrs.field(factory=list)
    bundles: list[BundleSample] = attrs.field(factory=list)
    final: list[FinalState] = attrs.field(factory=list)
    exit_statuses: dict[str, int | None] = attrs.field(factory=dict)


class HistoryWriter:
    """Appends events to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("wb")
        self._encoder = msgspec.json.Encoder()

    def append(self, event: Event) -> None:
        """Writes one line."""
        self._file.write(self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def read_history(path: Path) -> Iterator[Event]:
    """Yields the events of a file; skips an incomplete last line, as a crash leaves it."""
    decoder = msgspec.json.Decoder(Event)
    with path.open("rb") as lines:
        for line in lines:
            if line.endswith(b"\n"):
                yield decoder.decode(line)
