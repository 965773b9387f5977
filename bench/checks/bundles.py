"""Promise 9: an accepted bundle is in effect everywhere within 8 s and is never reverted."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, verdict
from bench.history import BundleSample, FaultEvent, Record

NAME = "bundles"
LIMIT_S = 8.0

Samples = dict[str, list[BundleSample]]


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Follows the version in effect in each program."""
    rolls = [f for f in record.faults if f.action == "roll" and f.found.get("version")]
    samples: Samples = defaultdict(list)
    for sample in record.bundles:
        if sample.version >= 0:
            samples[sample.program].append(sample)
    delays = [delay for roll in rolls for delay in _delays(samples, roll)]
    slowest = f", slowest {max(delays):.2f} s" if delays else ""
    evidence = f"{len(rolls)} rolls, adopted by a program {len(delays)} times{slowest}"
    return verdict(NAME, len(delays), evidence, _violations(samples, rolls))


def _delays(samples: Samples, roll: FaultEvent) -> Iterator[float]:
    """Returns the time to adoption of each program that ran before the roll."""
    for found in samples.values():
        adopted = [s.at for s in found if s.version >= roll.found["version"]]
        if adopted and found[0].at < roll.at:
            yield max(adopted[0] - roll.at, 0.0)


def _violations(samples: Samples, rolls: list[FaultEvent]) -> Iterator[str]:
    for program, found in samples.items():
        for earlier, later in itertools.pairwise(found):
            # 0 is a program that starts again and has no bundle yet.
            if 0 < later.version < earlier.version:
                yield f"{program} went back from version {earlier.version} to {later.version}"
        for roll in rolls:
            late = [s for s in found if s.at > roll.at + LIMIT_S]
            if late and 0 < late[0].version < roll.found["version"]:
                yield f"{program} had version {late[0].version} {LIMIT_S:g} s after the roll"
