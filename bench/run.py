"""Runs an experiment from the start of its processes to its verdicts."""

import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import gevent
import msgspec

from bench import schema
from bench.checks import judge
from bench.cluster import Cluster
from bench.experiment import Experiment
from bench.faults import Injector
from bench.generator import Counts, Job
from bench.history import BundleSample, FinalState, Record, read_history
from bench.processes import Processes, wait_until
from bench.resources import ResourceSampler
from bench.results import Results, summarise, write_results
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Statement

START_DELAY_S = 1.0
BUNDLE_SAMPLE_S = 0.25
# After the load: longest request, and the longest way to a writable group after a fault.
OVERTIME_S = 30.0
RECOVERY_S = 20.0
READ_S = 30.0


@attrs.frozen
class Run:
    """Results of an experiment with the record that they come from."""

    results: Results
    record: Record
    start_at: float


def run_experiment(
    experiment: Experiment, directory: Path, beside: Callable[[Cluster], None] | None = None
) -> Run:
    """Runs an experiment; its files, logs included, stay in `directory`.

    `beside` is called when the deployment is up; it may start greenlets that run with the load.
    """
    directory.mkdir(parents=True, exist_ok=True)
    with Processes(directory) as processes:
        cluster = Cluster(experiment.deployment, processes, directory)
        cluster.start()
        if beside is not None:
            beside(cluster)
        run = _Run(experiment, directory, cluster)
        finished = run.run()
    write_results(finished.results, directory / "results.json")
    return finished


class _Run:
    def __init__(self, experiment: Experiment, directory: Path, cluster: Cluster) -> None:
        self._experiment = experiment
        self._directory = directory
        self._cluster = cluster
        self._injector = Injector(cluster)
        self._bundles: list[BundleSample] = []

    def run(self) -> Run:
        """Loads the cluster, injects the faults and judges what was recorded."""
        start_at = time.monotonic() + START_DELAY_S
        resources = ResourceSampler(self._cluster.processes)
        sampler = gevent.spawn(self._sample_bundles)
        counts = self._load(start_at)
        usage = resources.stop()
        sampler.kill()
        self._injector.heal()
        self._cluster.wait_writable(RECOVERY_S)
        for name in sorted(self._cluster.live):
            self._injector.exit_statuses.update(self._cluster.stop_vm(name))
        record = Record(
            [*read_history(self._directory / "history.jsonl"), *self._injector.events],
            self._injector.record,
            self._bundles,
            list(self._final_states()),
            self._injector.exit_statuses,
        )
        results = summarise(
            self._experiment, record, start_at, judge(record), usage, counts.without_session
        )
        return Run(results, record, start_at)

    def _load(self, start_at: float) -> Counts:
        workload = self._experiment.workload
        job = Job(self._cluster.access(), workload, start_at)
        files = [self._directory / n for n in ("job.json", "history.jsonl", "counts.json")]
        files[0].write_bytes(msgspec.json.encode(job))
        generator = self._cluster.processes.start(
            "generator", "bench.generator", [str(file) for file in files]
        )
        faults = gevent.spawn(self._injector.run, self._experiment.faults, start_at)
        wait_until(
            lambda: not generator.running,
            START_DELAY_S + workload.seconds + OVERTIME_S,
            "end of the load",
        )
        faults.get()
        if generator.popen.returncode != 0:
            raise RuntimeError(self._cluster.processes.log_tail("generator"))
        return msgspec.json.decode(files[2].read_bytes(), type=Counts)

    def _sample_bundles(self) -> None:
        while True:
            for vm, program in self._cluster.programs():
                at = time.monotonic()
                version = self._cluster.bundle_version(vm, program)
                self._bundles.append(BundleSample(at, vm.process(program), version))
            gevent.sleep(BUNDLE_SAMPLE_S)

    def _final_states(self) -> Iterator[FinalState]:
        """Reads each database on its primary, past the programs."""
        driver = HttpTargets("bench")
        for database, group in self._cluster.groups.items():
            primary = self._cluster.primary(database)
            if primary is None:
                print(f"{database} has no primary at the end", file=sys.stderr)
                continue
            connection = driver.connect(group.target(primary.name), READ_S).unwrap()
            statements = [Statement(schema.ALL_EVENTS), Statement(schema.ALL_REGISTERS)]
            events, registers = connection.run(statements, READ_S).unwrap().results
            connection.close()
            yield FinalState(
                database,
                primary.name,
                [(str(u), str(s), int(str(n))) for u, s, n in events.rows] if events else [],
                {str(n): str(v) for n, v in registers.rows} if registers else {},
            )
