"""In-memory state of the entry: pending requests, their attempts and the state of the pools."""

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

RETRY_BUDGET_MAX = 500.0
# Tokens added per second even without traffic, so that an idle entry can resend at all.
RETRY_BUDGET_REFILL_PER_S = 2.0


class RetryPolicy(enum.StrEnum):
    """When a request may be sent again, and to which pools."""

    READ = "read"
    """To any pool at any time."""
    KEYED = "keyed"
    """To any pool: with the same idempotency key, a second run returns the first result."""
    BEGIN = "begin"
    """To any pool, but not because an answer is late: an unused transaction holds a connection."""
    AT_MOST_ONCE = "once"
    """Only after every pool so far reported that the request did not run."""
    FIXED = "fixed"
    """Never: only the pool that holds the transaction can run it."""


@attrs.define
class Attempt:
    """One transmission of a request to a pool; `outcome` is None until the pool answers."""

    correlation_id: int
    pool: str
    boot: str
    sent_at: float
    outcome: Outcome | None = None
    refusal: Refusal | None = None


@attrs.define
class PendingRequest:
    """A request without a final answer yet; times are in seconds of the monotonic clock."""

    number: int
    request: Request
    policy: RetryPolicy
    group: str
    started_at: float
    deadline: float
    fixed_pool: str | None = None
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def tried_pools(self) -> set[str]:
        """VMs whose pools the request was sent to."""
        return {attempt.pool for attempt in self.attempts}


@attrs.define
class PoolState:
    """State of the pool of a VM, as seen by the entry.

    `last_message_at` is the time of its last message, `busy_since` the time since which at least
    one request is outstanding, `probe_sent_at` the time of the unanswered probe. The pool is
    avoided while `unresponsive`, with the next probe at `next_probe_at`, and until
    `draining_until`.
    """

    vm: str
    last_message_at: float
    boot: str = ""
    outstanding: int = 0
    busy_since: float = 0.0
    probe_sent_at: float | None = None
    unresponsive: bool = False
    next_probe_at: float = 0.0
    probe_delay_s: float = 0.0
    draining_until: float = 0.0

    def is_avoided(self, now: float) -> bool:
        """Whether new requests go to other pools."""
        return self.unresponsive or self.draining_until > now


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a share of requests: they cannot multiply an overload."""

    tokens: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Adds the tokens that have accrued since the last refill."""
        self.add((now - self.refilled_at) * RETRY_BUDGET_REFILL_PER_S)
        self.refilled_at = now

    def add(self, tokens: float) -> None:
        """Adds tokens up to the maximum."""
        self.tokens = min(RETRY_BUDGET_MAX, self.tokens + tokens)


@attrs.define
class Tables:
    """All state of the entry; `timers` is a heap of (time, number of a pending request)."""

    retry_budget: RetryBudget
    pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    attempts: dict[int, tuple[PendingRequest, Attempt]] = attrs.field(factory=dict)
    pools: dict[str, PoolState] = attrs.field(factory=dict)
    timers: list[tuple[float, int]] = attrs.field(factory=list)
    last_tick_at: float = 0.0
    number_sequence: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))


class Routes(Protocol):
    """Assignment of groups to pools, derived from the directory and the bundle."""

    def ranked_vms(self, group: str) -> Sequence[str]:
        """VMs whose pools may serve a group, best first."""
        ...

    @property
    def pools_per_group(self) -> int:
        """Number of VMs that serve a group."""
        ...

    @property
    def retry_ratio(self) -> float:
        """Share of requests that may be resent."""
        ...


@attrs.frozen
class SendRequest:
    """Send a request to the pool of a VM; `repeated` if it was sent to a pool before."""

    pool: str
    request: Request
    correlation_id: int
    repeated: bool = False


@attrs.frozen
class DiscardQueue:
    """Drop the messages queued for an unresponsive pool, which would arrive after its restart."""

    pool: str


@attrs.frozen
class SendProbe:
    """Ask the pool of a VM for an immediate reply."""

    pool: str


@attrs.frozen
class Resolution:
    """Hand a caller the final answer.

    `pool` is the VM that gave the answer or was tried last, empty if the request was never sent.
    """

    number: int
    answer: Answer
    pool: str
    attempts: int


Effect = SendRequest | SendProbe | DiscardQueue | Resolution
