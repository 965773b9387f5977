"""The checks of the soak reject what they are for, and a short soak finds nothing."""

from collections.abc import Callable
from pathlib import Path

import pytest

from bench.soak.checks import CHECKS, RECOVERY_S, run_checks
from bench.soak.history import Promotion, Record, Request, VmEvent
from bench.soak.run import SoakPlan, run_soak

END_S = 100.0


def request(sent_at: float = 50.0, **fields: object) -> Request:
    """Returns a write that was answered with success."""
    default: dict[str, object] = {"value": 7, "answered_at": sent_at + 0.01, "group": "g1"}
    return Request(
        b"r1", "write", "own", "vm1", 1, "item1", sent_at, **{**default, **fields}  # type: ignore
    )


def sound_record() -> Record:
    """Returns a record without violations."""
    late = request(END_S - 1)
    late.id = b"late"
    return Record(
        requests=[request(), late],
        runs={b"r1": 1, b"late": 1},
        stored={b"r1", b"late"},
        ended_at=END_S,
        calm_since=END_S - RECOVERY_S - 2,
    )


def run_twice(record: Record) -> None:
    record.runs[b"r1"] = 2


def lose_a_commit(record: Record) -> None:
    record.promotions.append(Promotion("g1", 2, 60.0, 1, (b"7",)))


def miss_an_own_commit(record: Record) -> None:
    record.requests.append(request(value=3, expected=7))
    record.requests[-1].kind = "read"


def leave_without_answer(record: Record) -> None:
    record.vm_events.append(VmEvent("vm1", "sigterm", 47.0))
    record.requests[0].answered_at = None


def leave_undisturbed_without_answer(record: Record) -> None:
    record.requests[0].answered_at = None


def deny_a_run(record: Record) -> None:
    record.requests[0].error = "BUSY"


def end_by_itself(record: Record) -> None:
    record.vm_events.append(VmEvent("vm1", "ended", 60.0, 1))


def end_by_sigterm_while_it_runs(record: Record) -> None:
    events = (("started", 59.0, None), ("sigterm", 60.0, None), ("ended", 60.1, -15))
    record.vm_events += [VmEvent("vm1", *event) for event in events]


def end_by_sighup_while_it_runs(record: Record) -> None:
    events = (("started", 59.0, None), ("sighup", 60.0, None), ("ended", 60.1, -1))
    record.vm_events += [VmEvent("vm1", *event) for event in events]


def end_by_another_signal_than_it_got(record: Record) -> None:
    events = (("started", 60.0, None), ("sighup", 60.02, None), ("ended", 60.05, -15))
    record.vm_events += [VmEvent("vm1", *event) for event in events]


def leave_without_answer_after_a_reload(record: Record) -> None:
    leave_undisturbed_without_answer(record)
    sent_at = next(r.sent_at for r in record.requests if r.answered_at is None)
    record.vm_events.append(VmEvent("vm1", "sighup", sent_at))


def fail_a_task(record: Record) -> None:
    record.logs["vm1"] = "timestamp=1 level=error event=task-failed vm=vm1 task=targets"


def stay_away(record: Record) -> None:
    record.requests[-1].error = "BUSY"
    record.stored.discard(b"late")


@pytest.mark.parametrize(
    ("check", "break_it"),
    [
        ("at-most-once", run_twice),
        ("acknowledged-commits", lose_a_commit),
        ("own-reads", miss_an_own_commit),
        ("whole-answers", leave_without_answer),
        ("whole-answers", leave_undisturbed_without_answer),
        ("not-run", deny_a_run),
        ("no-own-ends", end_by_itself),
        ("no-own-ends", end_by_sigterm_while_it_runs),
        ("no-own-ends", end_by_sighup_while_it_runs),
        ("no-own-ends", end_by_another_signal_than_it_got),
        ("whole-answers", leave_without_answer_after_a_reload),
        ("no-failed-tasks", fail_a_task),
        ("recovery", stay_away),
    ],
)
def test_each_check_rejects_what_it_is_for(check: str, break_it: Callable[[Record], None]) -> None:
    """Guards against a check that accepts any history."""
    record = sound_record()
    assert run_checks(record) == {}
    break_it(record)
    assert list(run_checks(record)) == [check]
    assert set(CHECKS.names) >= {check}


@pytest.mark.parametrize(("kind", "status"), [("sigterm", -15), ("sighup", -1)])
def test_a_process_may_end_by_a_signal_before_its_program_runs(kind: str, status: int) -> None:
    """Guards against a check that rejects what the product cannot prevent.

    Seen with seed 108: SIGTERM 22 ms after the start, and the end 21 ms later; and with seed 127,
    with SIGHUP.
    """
    record = sound_record()
    events = (("started", 60.0, None), (kind, 60.02, None), ("ended", 60.05, status))
    record.vm_events += [VmEvent("vm1", *event) for event in events]
    assert run_checks(record) == {}


@pytest.mark.parametrize("seed", [11, 15])
def test_a_short_soak_finds_nothing(tmp_path: Path, seed: int) -> None:
    """Guards against the faults that overlapping troubles show: `python -m bench soak`."""
    record, violations = run_soak(SoakPlan(seed, seconds=12.0), tmp_path)
    assert violations == {}
    assert len(record.requests) > 100
