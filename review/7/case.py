"""A value set in a transaction whose target has lost the lead: later statements run without it."""

import sys
from pathlib import Path

from gevent import monkey

monkey.patch_time()

import gevent  # noqa: E402

from review.standin2.lab import (  # noqa: E402
    Client,
    CuttableTarget,
    Lab,
    run_case,
    troubled,
    wait_until,
)

# The longest cut of single machines on the small sites is 5.5 s.
MAX_CUT_S = 5.0
STATEMENTS = 30


def values_of(lab: Lab, request_id: str) -> dict[str, str] | None:
    """Returns the session values with which a target ran a statement, None if none ran it."""
    for execution in reversed(lab.groups["db1"].executions):
        if execution.request_id.decode() == request_id:
            return {name.decode(): value.decode() for name, value in execution.values}
    return None


def run(lab: Lab) -> bool:
    """Returns whether the rule held."""
    group = lab.groups["db1"]
    primary = group.primary
    assert isinstance(primary, CuttableTarget)
    gevent.sleep(3)
    client = Client(lab, "vm1", "own-db1", "c1")
    preparing = Client(lab, "vm4", "own-db1", "c2")
    assert preparing.query("PREPARE s READ shape")[1] == "DONE -"
    for each in (client, preparing):
        assert each.query("BEGIN")[1] == "DONE -"
        assert each.query("READ a")[1].startswith("DONE")
    if troubled():
        cut_at = lab.record.now
        lab.record.write("trouble", f"{primary.id} is cut off from all machines")
        primary.cut_off()
        wait_until(lambda: not primary.primary, MAX_CUT_S, "another target leads")
        gevent.sleep(0.2)
        primary.heal()
        lab.record.write("trouble", f"the cut ends after {lab.record.now - cut_at:.2f} s")
    else:
        gevent.sleep(2)
    assert client.query("SET tz rodopi")[1] == "DONE -"
    # The transaction is lost with the old primary; its client is told so and goes on.
    client.query("READ b")
    client.query("ROLLBACK")
    preparing.query("EXEC s b")
    preparing.query("ROLLBACK")
    held = True
    for number in range(STATEMENTS):
        request_id, outcome, _ = client.query(f"READ item{number}", 0.02)
        values = values_of(lab, request_id)
        if outcome.startswith("DONE") and values != {"tz": "rodopi"}:
            held = False
            lab.record.write("broken", f"{request_id} ran with {values}, acknowledged tz=rodopi")
    for number in range(3):
        try:
            request_id, outcome, _ = preparing.query(f"EXEC s item{number}", 0.02)
        except TimeoutError:
            lab.record.write("broken", "EXEC of an acknowledged name had no answer for 5 s")
            return False
        unknown = unknown_name_replies(lab, request_id)
        if unknown:
            held = False
            lab.record.write("broken", f"{request_id} got NOSTMT {unknown} times, then {outcome}")
    return held


def unknown_name_replies(lab: Lab, request_id: str) -> int:
    """Returns how often a target did not know the prepared name of a statement."""
    return sum(f" {request_id} " in note and "NOSTMT" in note for note in lab.notes)


def main() -> int:
    """Runs the case; returns the exit status of the script."""
    lab = Lab(Path(__file__).parent / "record.txt")

    def case() -> bool:
        lab.start()
        return run(lab)

    return run_case(lab, case)


if __name__ == "__main__":
    sys.exit(main())
