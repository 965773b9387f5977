"""Checks of a recorded history, one for each promise of the design page.

A check reports "no evidence" if the run did not exercise its promise: a run that could not have
broken a promise does not show that it is kept.
"""

import enum
import importlib
import itertools
from collections.abc import Callable, Iterable

import attrs

from bench.history import DONE, Event, Record
from siskindale.registry import Registry

MAX_SHOWN_VIOLATIONS = 5
WRITE_KINDS = ("write", "keyed", "transaction")
READ_KINDS = ("browse", "strict")
CHECK_MODULES = (
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
    """Result of a check and its evidence; `violations` holds at most `MAX_SHOWN_VIOLATIONS`."""

    promise: str
    status: Status
    evidence: str
    violations: tuple[str, ...] = ()


Check = Callable[[Record], Verdict]
CHECKS: Registry[Check] = Registry("check")


def make_verdict(
    promise: str, exercised_count: int, evidence: str, violations: Iterable[str]
) -> Verdict:
    """Returns the verdict; a violation counts whatever `exercised_count` is."""
    shown = tuple(itertools.islice(violations, MAX_SHOWN_VIOLATIONS))
    if shown:
        status = Status.VIOLATED
    else:
        status = Status.HELD if exercised_count else Status.NO_EVIDENCE
    return Verdict(promise, status, evidence, shown)


def run_checks(record: Record) -> list[Verdict]:
    """Runs all checks in the order of the promises."""
    for module in CHECK_MODULES:
        importlib.import_module(f"bench.checks.{module}")
    return [CHECKS.get(name)(record) for name in CHECKS.names]


def acknowledged_writes(record: Record) -> list[Event]:
    """Returns the acknowledged writes, including whole transactions."""
    return [e for e in record.events if e.kind in WRITE_KINDS and e.outcome == DONE]
