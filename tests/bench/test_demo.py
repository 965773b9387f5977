"""The demo as a process: ends by itself or when interrupted, and leaves no processes or files."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import psutil
import pytest

from bench.processes import ROOT, wait_until


@pytest.fixture
def demo(tmp_path: Path) -> Iterator["subprocess.Popen[str]"]:
    """A running demo with its files under `tmp_path`."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench", "demo", "--seconds", "10"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT), "TMPDIR": str(tmp_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    yield process
    process.kill()
    process.communicate()


def child_processes(process: "subprocess.Popen[str]") -> list[psutil.Process]:
    return psutil.Process(process.pid).children(recursive=True)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_demo_leaves_no_process(
    demo: "subprocess.Popen[str]", number: signal.Signals, tmp_path: Path
) -> None:
    """Guards against stand-ins and programs that outlive the demo."""
    wait_until(lambda: len(child_processes(demo)) >= 12, 30, "start of the programs")
    children = child_processes(demo)
    time.sleep(0.5)
    children += child_processes(demo)
    demo.send_signal(number)
    demo.communicate(timeout=10)
    wait_until(lambda: not any(child.is_running() for child in children), 5, "end of all")
    if number is not signal.SIGKILL:
        assert demo.returncode == 1
        assert list(tmp_path.iterdir()) == []


def test_directory_of_another_run_is_refused(tmp_path: Path) -> None:
    """Guards against targets that start with the data of an earlier run."""
    (tmp_path / "caves-caves-a.sqlite").touch()
    command = [sys.executable, "-m", "bench", "demo", "--keep", str(tmp_path)]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 2
    assert "is not empty" in run.stderr


def test_demo_breaks_no_promise(demo: "subprocess.Popen[str]") -> None:
    """Guards against programs that fail when run together, also after the loss of a primary."""
    output, _ = demo.communicate(timeout=60)
    assert demo.returncode == 0, output
    verdicts = [line for line in output.splitlines() if line[:2].rstrip(".").isdigit()]
    assert len(verdicts) == 9
    assert not any("violated" in line for line in verdicts), output
    assert "failover of caves after kill: none" not in output
