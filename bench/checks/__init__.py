"""Checks of a recorded history, one for each promise of the design page.

A check gives "no evidence" where the run did not exercise its promise: a promise is not kept by
a run that could not have broken it.
"""

import enum
import importlib
import itertools
from collections.abc import Callable, Iterable

import attrs

from bench.history import DONE, Event, Record
from siskindale.registry import Registry

MAX_SHOWN = 5
WRITES = ("write", "keyed", "transaction")
READS = ("browse", "strict")
MODULES = (
    "read_your_writes",
    "acknowledged",
    "isolation",
    "whole_answers",
    "refusals",
    "at_most_once",
    "leaving",
    "shutdown",
    "bundles",
)


class Status(enum.StrEnum):
    """Result of a check."""

    HELD = "held"
    VIOLATED = "violated"
    NO_EVIDENCE = "no evidence"


@attrs.frozen
class Verdict:
    """Result of a check with what it rests on; `violations` shows the first few."""

    promise: str
    status: Status
    evidence: str
    violations: tuple[str, ...] = ()


Check = Callable[[Record], Verdict]
CHECKS: Registry[Check] = Registry("check")


def verdict(promise: str, exercised: int, evidence: str, violations: Iterable[str]) -> Verdict:
    """Returns the verdict; a violation counts however little was exercised."""
    shown = tuple(itertools.islice(violations, MAX_SHOWN))
    if shown:
        status = Status.VIOLATED
    else:
        status = Status.HELD if exercised else Status.NO_EVIDENCE
    return Verdict(promise, status, evidence, shown)


def judge(record: Record) -> list[Verdict]:
    """Runs all checks in the order of the promises."""
    for module in MODULES:
        importlib.import_module(f"bench.checks.{module}")
    return [CHECKS.get(name)(record) for name in CHECKS.names]


def done_writes(record: Record) -> list[Event]:
    """Returns the acknowledged writes, whole transactions included."""
    return [e for e in record.events if e.kind in WRITES and e.outcome == DONE]
