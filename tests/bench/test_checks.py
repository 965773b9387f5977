"""Checks of a history: each finds its violation and reports "no evidence" where none was tested."""

from typing import Any

import pytest

from bench.checks import CHECK_MODULES, CHECKS, Status, run_checks
from bench.history import BundleSample, Event, FaultEvent, FinalState, Record

EMPTY_RECORD = Record([])


def make_event(kind: str, at: float, outcome: str = "done", **fields: Any) -> Event:
    values = {"session": "s1", "database": "caves", "vm": "vm1", **fields}
    return Event(kind, due_at=at, sent_at=at, ended_at=at + 0.1, outcome=outcome, **values)


def final_states(*uids: str, **registers: str) -> list[FinalState]:
    rows = [(uid, "s1", number) for number, uid in enumerate(uids, 1)]
    return [FinalState("caves", "caves-a", rows, registers)]


def status_of(name: str, record: Record) -> Status:
    return {verdict.promise: verdict.status for verdict in run_checks(record)}[name]


def test_nothing_recorded_is_no_evidence() -> None:
    """Guards against a promise that counts as kept although nothing was tested."""
    verdicts = run_checks(EMPTY_RECORD)
    assert len(verdicts) == len(CHECK_MODULES) == len(CHECKS.names) == 9
    assert {verdict.status for verdict in verdicts} == {Status.NO_EVIDENCE}


@pytest.mark.parametrize(
    ("seen", "vm", "expected"),
    [(2, "vm2", Status.HELD), (1, "vm2", Status.VIOLATED), (None, "vm2", Status.VIOLATED),
     (2, "vm1", Status.NO_EVIDENCE)],
)  # fmt: skip
def test_read_your_writes(seen: int | None, vm: str, expected: Status) -> None:
    """Guards against a read that misses an acknowledged write, and a verdict without roaming."""
    events = [
        make_event("write", 1, uid="a", seq=1),
        make_event("write", 2, uid="b", seq=2),
        make_event("write", 3, uid="c", seq=3, outcome="unknown"),
        make_event("browse", 4, seen=seen, vm=vm),
    ]
    assert status_of("read-your-writes", Record(events)) is expected


def test_read_before_acknowledgement_is_no_violation() -> None:
    """Guards against a violation for a write of another session or one later than the read."""
    events = [
        make_event("write", 1, uid="a", seq=1, session="s2"),
        make_event("browse", 2, seen=None, vm="vm2"),
        make_event("write", 3, uid="b", seq=1),
    ]
    assert status_of("read-your-writes", Record(events)) is Status.NO_EVIDENCE


@pytest.mark.parametrize(("kept", "expected"), [("a", Status.HELD), ("x", Status.VIOLATED)])
def test_acknowledged_write_is_present(kept: str, expected: Status) -> None:
    """Guards against an acknowledged write that is lost in a promotion."""
    lost = [FaultEvent(0, "kill", {}, {"lost_primary": True, "database": "caves"})]
    record = Record([make_event("keyed", 1, uid="a", seq=1)], lost, final=final_states(kept))
    assert status_of("no stale acknowledgement", record) is expected


def make_transaction(uid: str, outcome: str = "done", **reads: str) -> Event:
    writes = dict.fromkeys(reads, uid)
    return make_event("transaction", 1, outcome, uid=uid, reads=reads, writes=writes)


@pytest.mark.parametrize(
    ("transactions", "present", "registers", "expected"),
    [
        (
            [make_transaction("a", x="initial"), make_transaction("b", x="a")],
            "ab",
            {"x": "b"},
            Status.HELD,
        ),
        (
            [make_transaction("a", x="initial"), make_transaction("b", x="initial")],
            "ab",
            {"x": "b"},
            Status.VIOLATED,
        ),
        (
            [make_transaction("a", x="initial", y="b"), make_transaction("b", x="a", y="initial")],
            "ab",
            {"x": "b", "y": "a"},
            Status.VIOLATED,
        ),
        (
            [make_transaction("a", "rolled_back", x="initial"), make_transaction("b", x="a")],
            "b",
            {"x": "b"},
            Status.VIOLATED,
        ),
        ([make_transaction("a", "rolled_back", x="initial")], "a", {"x": "a"}, Status.VIOLATED),
        (
            [make_transaction("a", x="initial"), make_transaction("b", x="a")],
            "ab",
            {"x": "a"},
            Status.VIOLATED,
        ),
        (
            [make_transaction("a", "unknown", x="initial"), make_transaction("b", x="a")],
            "ab",
            {"x": "b"},
            Status.HELD,
        ),
    ],
    ids=[
        "serial",
        "lost-update",
        "cycle",
        "dirty-read",
        "rolled-back-applied",
        "final-value",
        "unknown-ran",
    ],
)
def test_isolation(
    transactions: list[Event], present: str, registers: dict[str, str], expected: Status
) -> None:
    """Guards against transactions that read or overwrite uncommitted or outdated values."""
    record = Record(transactions, final=final_states(*present, **registers))
    assert status_of("isolation of transactions", record) is expected


@pytest.mark.parametrize(
    ("echo", "rows", "expected"),
    [("n1", 3, Status.HELD), ("n2", 3, Status.VIOLATED), ("n1", 2, Status.VIOLATED)],
)
def test_whole_answers(echo: str, rows: int, expected: Status) -> None:
    """Guards against an answer to another request, and against an incomplete answer."""
    events = [make_event("large", 1, nonce="n1", echo=echo, rows=rows, expected_rows=3)]
    assert status_of("whole answers", Record(events)) is expected


def test_refused_write_that_ran() -> None:
    """Guards against `not_run` for a write that is present at the end or was read before."""
    refused = make_event("write", 1, "not_run", uid="a", seq=7)
    assert status_of("truthful refusals", Record([refused], final=final_states("b"))) is Status.HELD
    assert (
        status_of("truthful refusals", Record([refused], final=final_states("a")))
        is Status.VIOLATED
    )
    read = make_event("browse", 2, seen=7)
    assert (
        status_of("truthful refusals", Record([refused, read], final=final_states()))
        is Status.VIOLATED
    )


def test_refusal_after_unknown_attempt_proves_nothing() -> None:
    """Guards against a violation for a refused second attempt whose first attempt ran."""
    events = [
        make_event("keyed", 1, "unknown", uid="a", seq=1),
        make_event("keyed", 2, "not_run", uid="a", seq=1, attempt=2),
    ]
    record = Record(events, final=final_states("a"))
    assert status_of("truthful refusals", record) is Status.NO_EVIDENCE


@pytest.mark.parametrize(("rows", "expected"), [("a", Status.HELD), ("aa", Status.VIOLATED)])
def test_keyed_write_runs_once(rows: str, expected: Status) -> None:
    """Guards against a write that runs twice when it is repeated with the same key."""
    events = [
        make_event("keyed", 1, "unknown", uid="a", seq=1),
        make_event("keyed", 2, uid="a", seq=1, attempt=2),
    ]
    assert status_of("at most once", Record(events, final=final_states(*rows))) is expected


@pytest.mark.parametrize(("target", "expected"), [("b", Status.HELD), ("a", Status.VIOLATED)])
def test_leaving_target_gets_no_work(target: str, expected: Status) -> None:
    """Guards against new work on a leaving target after 3 s; earlier work is no violation."""
    events = [make_event("browse", at, target="a") for at in (1, 4)]
    events.append(make_event("browse", 6.5, target=target))
    leave = FaultEvent(3, "leave", {}, {"target": "a", "database": "caves"})
    assert status_of("leaving targets", Record(events, [leave])) is expected


@pytest.mark.parametrize(
    ("outcome", "exit_status", "expected"),
    [
        ("done", 0, Status.HELD),
        ("not_run", 0, Status.HELD),
        ("cut", 0, Status.VIOLATED),
        ("unknown", 0, Status.VIOLATED),
        ("done", None, Status.VIOLATED),
    ],
)
def test_shutdown_cuts_nothing(outcome: str, exit_status: int | None, expected: Status) -> None:
    """Guards against requests dropped by a stopping VM and programs that have to be killed."""
    stop = FaultEvent(1.05, "terminate", {}, {"vm": "vm1"})
    record = Record(
        [make_event("write", 1, outcome)], [stop], exit_statuses={"vm1-pool": exit_status}
    )
    assert status_of("graceful shutdown", record) is expected


def test_other_fault_explains_unknown_but_no_cut() -> None:
    """Guards against a violation for a killed target, and against a cut excused by it."""
    stop = FaultEvent(1.05, "terminate", {}, {"vm": "vm1"})
    kill = FaultEvent(0.5, "kill", {}, {"database": "caves"})
    unknown, cut = make_event("write", 1, "unknown"), make_event("write", 1, "cut")
    assert status_of("graceful shutdown", Record([unknown], [kill, stop])) is Status.HELD
    assert status_of("graceful shutdown", Record([cut], [kill, stop])) is Status.VIOLATED


def test_own_deadline_is_no_cut() -> None:
    """Guards against a violation for a caller's deadline that passes during the shutdown."""
    stop = FaultEvent(1.05, "terminate", {}, {"vm": "vm1"})
    hasty = make_event("write", 1, "unknown", deadline_ms=100)
    assert status_of("graceful shutdown", Record([hasty], [stop])) is Status.HELD


@pytest.mark.parametrize(
    ("versions", "expected"),
    [
        ([(0, 1), (2, 1), (4, 2), (20, 2)], Status.HELD),
        ([(0, 1), (2, 1), (9.5, 1), (20, 2)], Status.VIOLATED),
        ([(0, 1), (2, 2), (4, 1), (8, 2)], Status.VIOLATED),
        ([(0, 1), (2, 2), (4, -1), (5, 0), (8, 2)], Status.HELD),
    ],
    ids=["in-time", "late", "reverted", "restarted"],
)
def test_bundle_versions(versions: list[tuple[float, int]], expected: Status) -> None:
    """Guards against programs that adopt a bundle too late or revert to an earlier one."""
    samples = [BundleSample(at, "vm1-pool", version) for at, version in versions]
    roll = FaultEvent(1, "roll", {}, {"version": 2})
    assert status_of("bundles", Record([], [roll], samples)) is expected
