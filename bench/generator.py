"""Load generator; a separate process, so that faults and checks do not disturb its timing."""

import itertools
import signal
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from random import Random

import attrs
import gevent
import msgspec
import typer
from gevent.event import Event as StopEvent

from bench.callers import Access, Callers, Session
from bench.experiment import Workload
from bench.history import HistoryWriter

# A shorter sleep overshoots by about its own length, so closer arrivals are started together.
MIN_SLEEP_S = 0.0005


@attrs.frozen
class Job:
    """Input of the generator; `start_at` is the monotonic time of the first arrival."""

    access: Access
    workload: Workload
    start_at: float


@attrs.define
class Counts:
    """Operations started, and arrivals not sent because no session was idle."""

    started: int = 0
    without_session: int = 0


def arrivals(workload: Workload, random: Random) -> Iterator[tuple[float, str]]:
    """Yields the time in seconds from the start and the kind of each operation."""
    shares = attrs.asdict(workload.mix)
    kinds, weights = list(shares), list(shares.values())
    at = random.expovariate(workload.rate)
    while at < workload.seconds:
        yield at, random.choices(kinds, weights)[0]
        at += random.expovariate(workload.rate)


def generate(job: Job, writer: HistoryWriter, stop: StopEvent) -> Counts:
    """Runs the workload until `stop` is set; returns when all started operations have ended."""
    random = Random(job.workload.seed)
    callers = Callers(job.access, job.workload, Random(random.random()), writer.append)
    idle_sessions = deque(callers.new_session(number) for number in range(job.workload.sessions))
    counts = Counts()
    running: set[gevent.Greenlet] = set()

    def run_operation(kind: str, session: Session, due_at: float) -> None:
        try:
            callers.run(kind, session, due_at)
        finally:
            idle_sessions.append(session)

    for offset, kind in itertools.takewhile(
        lambda _: not stop.is_set(), arrivals(job.workload, random)
    ):
        due_at = job.start_at + offset
        if due_at - time.monotonic() > MIN_SLEEP_S:
            stop.wait(due_at - time.monotonic())
        if not idle_sessions:
            counts.without_session += 1
            continue
        counts.started += 1
        greenlet = gevent.spawn(run_operation, kind, idle_sessions.popleft(), due_at)
        running.add(greenlet)
        greenlet.link(running.discard)
    gevent.joinall(list(running))
    return counts


def main(job_file: Path, history: Path, counts_file: Path) -> None:
    """Runs the job of a file; writes the history and the counts."""
    stop = StopEvent()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    job = msgspec.json.decode(job_file.read_bytes(), type=Job)
    writer = HistoryWriter(history)
    try:
        counts = generate(job, writer, stop)
    finally:
        writer.close()
    counts_file.write_bytes(msgspec.json.encode(counts))


if __name__ == "__main__":
    typer.run(main)
