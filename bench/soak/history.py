"""What clients, targets and the platform saw during a soak."""

import itertools
from collections.abc import Iterator

import attrs


@attrs.define
class Request:
    """A request of a client and its answer; times are monotonic seconds.

    `value` is the number that a write puts into the item of its session, or that a read returned.
    `terms` are the terms of the groups when the request was sent, `group` is where it ran. `error`
    is the code of an error reply. A request without `answered_at` got no complete answer.
    """

    id: bytes
    kind: str
    database: str
    vm: str
    session: int
    item: str
    sent_at: float
    value: int = -1
    expected: int = -1
    error: str = ""
    answered_at: float | None = None
    group: str = ""
    terms: dict[str, int] = attrs.field(factory=dict)

    @property
    def succeeded(self) -> bool:
        """Whether the request was completed."""
        return self.answered_at is not None and not self.error


@attrs.define
class VmEvent:
    """Something that was done to a VM, or the end of its process."""

    vm: str
    kind: str
    at: float
    status: int | None = None


@attrs.define
class Promotion:
    """A change of a primary and the acknowledged values that it lost."""

    group: str
    term: int
    at: float
    synchronous_replicas: int
    lost: tuple[bytes, ...]


@attrs.define
class Record:
    """Everything that the checks judge.

    `runs` counts the runs of each request at targets, `stored` are the writes that are in a log at
    the end. All troubles were over at `calm_since`. `values` gives each write a value of its own.
    """

    requests: list[Request] = attrs.field(factory=list)
    vm_events: list[VmEvent] = attrs.field(factory=list)
    promotions: list[Promotion] = attrs.field(factory=list)
    runs: dict[bytes, int] = attrs.field(factory=dict)
    stored: set[bytes] = attrs.field(factory=set)
    logs: dict[str, str] = attrs.field(factory=dict)
    ended_at: float = 0.0
    calm_since: float = 0.0
    troubles: list[tuple[float, str]] = attrs.field(factory=list)
    values: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
