"""Promise 9: an accepted bundle is in effect everywhere within 8 s and is never reverted."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from bench.checks import CHECKS, Verdict, make_verdict
from bench.history import BundleSample, FaultEvent, Record

NAME = "bundles"
ADOPTION_LIMIT_S = 8.0

SamplesByProgram = dict[str, list[BundleSample]]


@CHECKS.register(NAME)
def check(record: Record) -> Verdict:
    """Checks how the version in effect in each program changes over time."""
    rolls = [f for f in record.faults if f.action == "roll" and f.found.get("version")]
    samples: SamplesByProgram = defaultdict(list)
    for sample in record.bundles:
        if sample.version >= 0:
            samples[sample.program].append(sample)
    delays = [delay for roll in rolls for delay in _adoption_delays(samples, roll)]
    slowest = f", slowest {max(delays):.2f} s" if delays else ""
    evidence = f"{len(rolls)} rolls, adopted by a program {len(delays)} times{slowest}"
    return make_verdict(NAME, len(delays), evidence, _violations(samples, rolls))


def _adoption_delays(samples: SamplesByProgram, roll: FaultEvent) -> Iterator[float]:
    """Returns the seconds from the roll to adoption for each program sampled before the roll."""
    for program_samples in samples.values():
        adoption_times = [s.at for s in program_samples if s.version >= roll.found["version"]]
        if adoption_times and program_samples[0].at < roll.at:
            yield max(adoption_times[0] - roll.at, 0.0)


def _violations(samples: SamplesByProgram, rolls: list[FaultEvent]) -> Iterator[str]:
    for program, program_samples in samples.items():
        for earlier, later in itertools.pairwise(program_samples):
            # A restarted program reports version 0 until it has a bundle.
            if 0 < later.version < earlier.version:
                yield f"{program} went back from version {earlier.version} to {later.version}"
        for roll in rolls:
            late_samples = [s for s in program_samples if s.at > roll.at + ADOPTION_LIMIT_S]
            if late_samples and 0 < late_samples[0].version < roll.found["version"]:
                yield (
                    f"{program} had version {late_samples[0].version} {ADOPTION_LIMIT_S:g} s"
                    " after the roll"
                )
