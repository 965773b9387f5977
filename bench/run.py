"""Runs an experiment: starts the processes, applies load and faults, and checks the history."""

import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs
import gevent
import msgspec

from bench import schema
from bench.checks import run_checks
from bench.cluster import Cluster
from bench.experiment import Experiment
from bench.faults import Injector
from bench.generator import Counts, Job
from bench.history import BundleSample, FinalState, Record, read_history
from bench.processes import Processes, wait_until
from bench.resources import ResourceSampler
from bench.results import Results, compute_results, write_results
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Statement

LOAD_START_DELAY_S = 1.0
BUNDLE_SAMPLE_INTERVAL_S = 0.25
# Time limits after the load: for its longest request, and for groups to become writable again.
MAX_OVERRUN_S = 30.0
WRITABLE_TIMEOUT_S = 20.0
FINAL_READ_TIMEOUT_S = 30.0


@attrs.frozen
class Run:
    """Results of an experiment and the record that they are computed from."""

    results: Results
    record: Record
    start_at: float


def run_experiment(
    experiment: Experiment, directory: Path, on_started: Callable[[Cluster], None] | None = None
) -> Run:
    """Runs an experiment and leaves all its files, including logs, in `directory`.

    `on_started` is called when the deployment is up and may start greenlets that run with the load.
    """
    directory.mkdir(parents=True, exist_ok=True)
    with Processes(directory) as processes:
        cluster = Cluster(experiment.deployment, processes, directory)
        cluster.start()
        if on_started is not None:
            on_started(cluster)
        runner = _Runner(experiment, directory, cluster)
        finished = runner.run()
    write_results(finished.results, directory / "results.json")
    return finished


class _Runner:
    def __init__(self, experiment: Experiment, directory: Path, cluster: Cluster) -> None:
        self._experiment = experiment
        self._directory = directory
        self._cluster = cluster
        self._injector = Injector(cluster)
        self._bundles: list[BundleSample] = []

    def run(self) -> Run:
        """Applies the load, injects the faults and checks the recorded history."""
        start_at = time.monotonic() + LOAD_START_DELAY_S
        resources = ResourceSampler(self._cluster.processes)
        sampler = gevent.spawn(self._sample_bundles)
        counts = self._run_load(start_at)
        usage = resources.stop()
        sampler.kill()
        self._injector.heal()
        self._cluster.wait_writable(WRITABLE_TIMEOUT_S)
        for name in sorted(self._cluster.live):
            self._injector.exit_statuses.update(self._cluster.stop_vm(name))
        record = Record(
            [*read_history(self._directory / "history.jsonl"), *self._injector.events],
            self._injector.fault_events,
            self._bundles,
            list(self._read_final_states()),
            self._injector.exit_statuses,
        )
        results = compute_results(
            self._experiment, record, start_at, run_checks(record), usage, counts.without_session
        )
        return Run(results, record, start_at)

    def _run_load(self, start_at: float) -> Counts:
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
            LOAD_START_DELAY_S + workload.seconds + MAX_OVERRUN_S,
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
                self._bundles.append(BundleSample(at, vm.process_name(program), version))
            gevent.sleep(BUNDLE_SAMPLE_INTERVAL_S)

    def _read_final_states(self) -> Iterator[FinalState]:
        """Reads each database directly from its primary, bypassing the proxy."""
        driver = HttpTargets("bench")
        for database, group in self._cluster.groups.items():
            primary = self._cluster.primary(database)
            if primary is None:
                print(f"{database} has no primary at the end", file=sys.stderr)
                continue
            connection = driver.connect(group.target(primary.name), FINAL_READ_TIMEOUT_S).unwrap()
            statements = [Statement(schema.ALL_EVENTS), Statement(schema.ALL_REGISTERS)]
            events, registers = connection.run(statements, FINAL_READ_TIMEOUT_S).unwrap().results
            connection.close()
            yield FinalState(
                database,
                primary.name,
                [(str(u), str(s), int(str(n))) for u, s, n in events.rows] if events else [],
                {str(n): str(v) for n, v in registers.rows} if registers else {},
            )
