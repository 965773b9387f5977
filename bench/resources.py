"""CPU time and memory of the processes of an experiment."""

import time

import attrs
import gevent
import psutil

from bench.processes import Processes

SAMPLE_INTERVAL_S = 0.5


@attrs.define
class Usage:
    """Resource usage of one process; `cpu_s` counts from the start of sampling."""

    cpu_s: float = 0.0
    cpu_share: float = 0.0
    rss_peak_mb: float = 0.0


class ResourceSampler:
    """Samples all processes until stopped; adds up the CPU time of restarted processes."""

    def __init__(self, processes: Processes) -> None:
        self._processes = processes
        self._started_at = time.monotonic()
        self._last_cpu_s: dict[int, float] = {}
        self.usage: dict[str, Usage] = {}
        self._sample()
        for usage in self.usage.values():
            usage.cpu_s = 0.0
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> dict[str, Usage]:
        """Takes the last sample and returns the usage of each process."""
        self._greenlet.kill()
        self._sample()
        elapsed = time.monotonic() - self._started_at
        for usage in self.usage.values():
            usage.cpu_share = usage.cpu_s / elapsed
        return self.usage

    def _run(self) -> None:
        while True:
            gevent.sleep(SAMPLE_INTERVAL_S)
            self._sample()

    def _sample(self) -> None:
        for process in self._processes.all:
            if process.running:
                self._measure(process.name, process.pid)

    def _measure(self, name: str, pid: int) -> None:
        try:
            measured = psutil.Process(pid)
            times, memory = measured.cpu_times(), measured.memory_info()
        except psutil.NoSuchProcess:
            return
        usage = self.usage.setdefault(name, Usage())
        total_cpu_s = times.user + times.system
        usage.cpu_s += total_cpu_s - self._last_cpu_s.get(pid, 0.0)
        self._last_cpu_s[pid] = total_cpu_s
        usage.rss_peak_mb = max(usage.rss_peak_mb, memory.rss / 2**20)
