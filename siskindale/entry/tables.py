"""Rows of the entry: pending requests, their attempts at pools, and what is known of the pools."""

import enum
import itertools
from collections.abc import Iterator, Sequence
from typing import Protocol

import attrs

from siskindale.models.outcomes import Outcome, Refusal
from siskindale.models.wire import (
    Answer,
    BeginRequest,
    FinishRequest,
    StatementRequest,
    TransactionStatement,
)

Request = StatementRequest | BeginRequest | TransactionStatement | FinishRequest


class Policy(enum.StrEnum):
    """How a request may be sent again."""

    READ = "read"
    """Anywhere, at any time."""
    KEYED = "keyed"
    """Anywhere: its key makes a second run return the first result."""
    BEGIN = "begin"
    """Anywhere, but only if the pool is gone: an unused transaction holds a connection."""
    ONCE = "once"
    """Only after a pool said that it did not run."""
    FIXED = "fixed"
    """Never: only the pool of the transaction can run it."""


@attrs.define
class Attempt:
    """One sending of a request; `verdict` is None until the pool answers."""

    correlation_id: int
    pool: str
    boot: str
    sent_at: float
    verdict: Outcome | None = None
    refusal: Refusal | None = None


@attrs.define
class Pending:
    """A request that waits for its answer; times are monotonic seconds."""

    number: int
    request: Request
    policy: Policy
    group: str
    started_at: float
    deadline: float
    fixed_pool: str | None = None
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def budget_s(self) -> float:
        """Whole time that the caller allows."""
        return self.deadline - self.started_at

    @property
    def tried(self) -> set[str]:
        """Pools that were tried."""
        return {attempt.pool for attempt in self.attempts}


@attrs.define
class Pool:
    """What the entry knows of the pool of a VM.

    `heard_at` is the time of its last message, `busy_since` the time since which it owes answers,
    `probed_at` that of the unanswered probe. The pool is avoided while `silent`, with the next
    probe at `probe_at`, and until `draining_until`.
    """

    vm: str
    heard_at: float
    boot: str = ""
    outstanding: int = 0
    busy_since: float = 0.0
    probed_at: float | None = None
    silent: bool = False
    probe_at: float = 0.0
    probe_delay_s: float = 0.0
    draining_until: float = 0.0

    def avoided(self, now: float) -> bool:
        """Whether new work goes elsewhere."""
        return self.silent or self.draining_until > now


@attrs.define
class RetryBudget:
    """Tokens for resending: a part of all requests, so that retries cannot multiply an overload."""

    tokens: float
    refilled_at: float


@attrs.define
class Tables:
    """All rows of the entry; `timers` is a heap of (time, number of a pending request)."""

    budget: RetryBudget
    pending: dict[int, Pending] = attrs.field(factory=dict)
    attempts: dict[int, tuple[Pending, Attempt]] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    timers: list[tuple[float, int]] = attrs.field(factory=list)
    ticked_at: float = 0.0
    numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))


class Routes(Protocol):
    """Assignment of groups to pools, from the directory and the bundle."""

    def ranked(self, group: str) -> Sequence[str]:
        """VMs whose pools may serve a group, best first."""
        ...

    @property
    def pools_per_group(self) -> int:
        """Number of VMs that serve a group."""
        ...

    @property
    def retry_budget(self) -> float:
        """Resent part of all requests."""
        ...


@attrs.frozen
class Send:
    """Send a request to the pool of a VM."""

    pool: str
    request: Request
    correlation_id: int


@attrs.frozen
class Discard:
    """Drop what is queued for a silent pool; after its restart nobody waits for it any more."""

    pool: str


@attrs.frozen
class Probe:
    """Ask the pool of a VM for a sign of life."""

    pool: str


@attrs.frozen
class Resolve:
    """Give a caller its answer; `pool` is the VM that gave it, empty if the entry did."""

    number: int
    answer: Answer
    pool: str
    attempts: int


Effect = Send | Probe | Discard | Resolve
