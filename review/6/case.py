"""Commits that a synchronous replica acknowledged and that the promoted target lacks."""

import itertools
import os
import sys
import time
from pathlib import Path
from random import Random

from gevent import monkey

monkey.patch_time()

import gevent  # noqa: E402

from review.standin2.lab import (  # noqa: E402
    Client,
    CuttableTarget,
    Group,
    Lab,
    run_case,
    troubled,
)
from review.standin2.synchronous import SynchronousGroup, use_slots  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
RELEASES = 16
# Of each group.
WRITERS = 36
READERS = 7
DRAIN_S = 7.2
RELEASE_INTERVAL_S = 4.6
# The longest plain cut of single machines on the small sites is 5.5 s.
CUT_S = 2.2
# As after a restart of the machines in turn.
START_INTERVAL_S = 0.75


class SynchronousLab(Lab):
    """A deployment whose groups have one synchronous replica."""

    def create_group(self, name: str) -> Group:
        """Returns a group without targets."""
        return SynchronousGroup(name, self, SEED)


class Load:
    """Clients that write and read until they are stopped."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._random = Random(SEED)
        self._running = True
        self._numbers = itertools.count(1)
        self.succeeded: set[str] = set()
        vms = itertools.cycle(lab.vms)
        kinds = ["primary"] * WRITERS + ["bounded"] * READERS
        self._greenlets = [
            gevent.spawn(self._run, f"{group}c{number}", next(vms), kind, f"{kind}-{group}")
            for group in lab.groups
            for number, kind in enumerate(kinds)
        ]

    def stop(self) -> None:
        """Ends all clients."""
        self._running = False
        gevent.joinall(self._greenlets, timeout=5)
        gevent.killall(self._greenlets)

    def _run(self, name: str, vm: str, kind: str, database: str) -> None:
        while self._running:
            try:
                client = Client(self._lab, vm, database, name)
                while self._running:
                    text = self._text(kind)
                    outcome = client.query(text)[1]
                    if outcome == "CLOSED":
                        break
                    if outcome.startswith("DONE") and kind == "primary":
                        self.succeeded.add(text.rpartition(" ")[2])
                    gevent.sleep(self._random.uniform(0.1, 0.4))
                client.close()
            except (OSError, gevent.Timeout):
                gevent.sleep(0.2)

    def _text(self, kind: str) -> str:
        item = f"item{self._random.randrange(2000)}"
        if kind == "primary":
            return f"WRITE {item} data{next(self._numbers)}"
        return f"READ {item}"


def release(lab: SynchronousLab, group: SynchronousGroup, number: int) -> None:
    """Replaces the primary as planned: it drains, ends, and a new target takes its log."""
    old = group.primary
    cut = max((t for t in group.targets.values() if t is not old), key=lambda target: target.id)
    assert isinstance(cut, CuttableTarget)
    started_at = time.monotonic()
    if troubled():
        lab.record.write("trouble", f"{cut.id} is cut off from all machines for {CUT_S} s")
        cut.cut_off()
        gevent.spawn_later(CUT_S, cut.heal)
    lab.states[old.id] = "draining"
    lab.register(old)
    lab.record.write("plan", f"{old.id} drains")
    while time.monotonic() - started_at < DRAIN_S:
        gevent.sleep(0.05)
    lab.record.write("plan", f"{old.id} ends; replaced={not old.primary}")
    if old.primary:
        gevent.sleep(1.5)
    old.crash()
    del group.targets[old.id]
    lab.platform.put("servers", old.id, None)
    gevent.sleep(0.5)
    domain = old.id.rpartition("-")[2]
    new = group.add(f"i-{group.name}n{number}-{domain}", old.address, False, 16)
    leader = next((t for t in group.targets.values() if t.primary), old)
    new.log[:] = list(leader.log)
    lab.register(new)
    lab.record.write("plan", f"{new.id} starts")


def run(lab: SynchronousLab) -> bool:
    """Returns whether the rule held."""
    groups = [group for group in lab.groups.values() if isinstance(group, SynchronousGroup)]
    gevent.sleep(2)
    load = Load(lab)
    gevent.sleep(2)
    releases = []
    for number, group in zip(range(RELEASES), itertools.cycle(groups), strict=False):
        releases.append(gevent.spawn(release, lab, group, number))
        gevent.sleep(RELEASE_INTERVAL_S)
        if any(group.lost for group in groups):
            break
    gevent.joinall(releases, timeout=12)
    load.stop()
    # Only commits count whose clients got a success.
    lost = sum(load.succeeded.issuperset(c.data) for group in groups for c in group.lost)
    lab.record.write("result", f"{len(load.succeeded)} successful writes, {lost} of them lost")
    return not lost


def main() -> int:
    """Runs the case; returns the exit status of the script."""
    use_slots()
    lab = SynchronousLab(Path(os.environ.get("RECORD", Path(__file__).parent / "record.txt")))

    def case() -> bool:
        lab.start(START_INTERVAL_S)
        return run(lab)

    return run_case(lab, case)


if __name__ == "__main__":
    sys.exit(main())
