"""Tests of the entry as a process: start, drain on SIGTERM and rolling restart."""

import http.client
import json
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import gevent
import pytest

from bench.deployment import PlatformStandin
from bench.processes import Process, Processes, wait_until
from siskindale.bundles import signing
from siskindale.bundles.following import HEAD_KEY, HEAD_TABLE
from siskindale.context import Environment
from siskindale.membership.directory import MEMBERS_TABLE, member_from_settings, member_to_row
from siskindale.models.settings import Settings
from siskindale.store.http import http_platform
from siskindale.store.interface import Write
from tests.entry.harness import (
    CLASSES,
    Client,
    FakePool,
    answer_after,
    club_caller,
    with_free_ports,
)
from tests.fakes.settings import bundle, signed, vm_settings

READY_TIMEOUT_S = 20.0


class EntryProcesses:
    """Entry processes of two VMs; their fake pools run in the test process."""

    def __init__(self, processes: Processes, platform: PlatformStandin, directory: Path) -> None:
        self.processes = processes
        self._directory = directory
        self.settings = [
            attrs.evolve(with_free_ports(vm_settings(i)), platform=platform.settings())
            for i in range(2)
        ]
        platform.set_live([s.vm for s in self.settings])
        self._publish(platform)
        self.pools = [FakePool(s, Environment()) for s in self.settings]
        for settings in self.settings:
            self.start(settings)

    def start(self, settings: Settings) -> None:
        """Starts an entry and waits until it is ready."""
        path = self._directory / f"{settings.vm}.json"
        path.write_text(json.dumps(attrs.asdict(settings)))
        self.processes.start(settings.vm, "siskindale.entry", ["--settings", str(path)])
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not is_ready(settings):
            assert time.monotonic() < give_up_at, self.processes.log_tail(settings.vm)
            gevent.sleep(0.05)

    def process(self, index: int) -> Process:
        """Returns the process of an entry."""
        return self.processes.get(self.settings[index].vm)

    def stop(self, index: int) -> int | None:
        """Stops an entry by SIGTERM while the fake pools keep running; returns its exit status."""
        process = self.process(index)
        process.popen.terminate()
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while process.running and time.monotonic() < give_up_at:
            gevent.sleep(0.02)
        return process.popen.poll()

    def _publish(self, platform: PlatformStandin) -> None:
        content = signing.canonical_json(signed(bundle(classes=CLASSES, callers=(club_caller(),))))
        digest = signing.digest_of(content)
        services = http_platform(platform.settings("test"))
        services.objects.put(digest, content).unwrap()
        rows = [
            Write(MEMBERS_TABLE, s.vm, member_to_row(member_from_settings(s)))
            for s in self.settings
        ]
        head = Write(HEAD_TABLE, HEAD_KEY, {"version": 1, "digest": digest})
        services.tables.commit([], [*rows, head]).unwrap()


def is_ready(settings: Settings) -> bool:
    """Returns whether the health server reports the entry as ready."""
    try:
        return Client(settings.entry.health).request("GET", "/readyz").status == 200
    except OSError:
        return False


@pytest.fixture
def entries(
    processes: Processes, platform_standin: PlatformStandin, tmp_path: Path
) -> Iterator[EntryProcesses]:
    """Two running entries."""
    started = EntryProcesses(processes, platform_standin, tmp_path)
    yield started
    for pool in started.pools:
        pool.mailbox.close()


def test_drain_finishes_requests_in_flight(entries: EntryProcesses) -> None:
    """Guards against a SIGTERM that interrupts requests or leaves the entry marked as ready."""
    settings = entries.settings[0]
    for pool in entries.pools:
        pool.behaviour = answer_after(1.0)
    client, waiting = Client(settings.entry.listen), Client(settings.entry.listen)
    assert waiting.statement().status == 200
    first = gevent.spawn(client.statement)
    received = [pool.received_requests for pool in entries.pools]
    wait_until(lambda: sum(map(len, received)) == 2, READY_TIMEOUT_S, "the second request arrived")
    stop = gevent.spawn(entries.stop, 0)
    wait_until(lambda: not is_ready(settings), READY_TIMEOUT_S, "the entry drains")
    refused = waiting.statement()
    assert (refused.status, refused.problem) == (503, "shutting-down")
    assert refused.headers["connection"] == "close"
    with pytest.raises(OSError):
        Client(settings.entry.listen).statement()
    finished = first.get()
    assert (finished.status, finished.headers["connection"]) == (200, "close")
    assert stop.get() == 0
    assert "Traceback" not in entries.processes.log_tail(settings.vm)


def test_rolling_restart_interrupts_no_request(entries: EntryProcesses) -> None:
    """Guards against restarts that lose answers to callers."""
    for pool in entries.pools:
        pool.behaviour = answer_after(0.05)
    counts = {"done": 0, "refused": 0, "cut": 0}
    stopped = gevent.event.Event()

    def call(index: int) -> None:
        client = Client(entries.settings[index % 2].entry.listen)
        while not stopped.is_set():
            try:
                client.connect()
            except OSError:
                index += 1
                client = Client(entries.settings[index % 2].entry.listen)
                continue
            try:
                response = client.statement("write", "revisions")
                counts["done" if response.status == 200 else "refused"] += 1
                assert response.status == 200 or response.json["outcome"] == "not_run"
            except (OSError, http.client.HTTPException):
                counts["cut"] += 1

    callers = [gevent.spawn(call, index) for index in range(16)]
    for index in (0, 1, 0, 1):
        gevent.sleep(0.5)
        assert entries.stop(index) == 0
        entries.start(entries.settings[index])
    stopped.set()
    gevent.joinall(callers, raise_error=True)
    assert counts["cut"] == 0 and counts["done"] > 500, counts
