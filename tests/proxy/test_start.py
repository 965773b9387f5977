"""Start of the session proxy: what clients and the platform see before it is loaded."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bench.processes import ROOT, Processes, free_ports
from siskindale.proxy import listening
from tests.proxy.deployment import PATIENCE_S, Deployment, eventually

HEAVY = ("gevent", "attr", "returns", "httptools", "msgspec", "pathlib")


def test_the_proxy_listens_before_libraries_are_imported(tmp_path: Path) -> None:
    """Guards against clients that are refused while the libraries are imported.

    After a kill of all VMs they used up their retries on refused connections: 36 of 37 requests
    that were not served on rsb-pool scale-1.
    """
    (address,) = free_ports(1)
    path = tmp_path / "proxy.json"
    path.write_text(f'{{"clients": "{address}"}}')
    script = (
        "import sys; from siskindale.proxy import listening;"
        f"print(listening.listen({str(path)!r}).getsockname()[1]);"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    command = [sys.executable, "-S", "-c", script]
    printed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    assert printed.splitlines() == [str(address.port), "[]"]


@pytest.mark.parametrize(
    "text", ["", "[]", '{"vm": 1}', '{"clients": 5}', '{"clients": "127.0.0.1:x"}']
)
def test_settings_without_an_address_are_left_to_the_program(tmp_path: Path, text: str) -> None:
    """Guards against a traceback in place of the findings in a settings file."""
    path = tmp_path / "proxy.json"
    path.write_text(text)
    assert listening.listen(str(path)) is None
    assert listening.listen(str(tmp_path / "missing.json")) is None


def test_a_session_that_came_before_the_start_is_served(deployment: Deployment) -> None:
    """Guards against connections in the backlog that the program does not take over."""
    proxy = deployment.start_proxy(ready=False)
    assert "event=started" not in proxy.log
    assert proxy.client().greeting == b"READY I -\r\n"


def test_a_stop_during_the_start_is_not_lost(deployment: Deployment) -> None:
    """Guards against a proxy that serves on after SIGTERM and is killed with its sessions."""
    proxy = deployment.start_proxy(ready=False)
    proxy.process.signal(signal.SIGTERM)
    eventually(lambda: not proxy.process.running, "the proxy has ended")
    assert proxy.process.popen.returncode == 0


def test_a_command_can_be_interrupted(processes: Processes, tmp_path: Path) -> None:
    """Guards against commands that ignore SIGTERM as the serving program once did."""
    path = tmp_path / "fifo.json"
    os.mkfifo(path)
    process = processes.start("check", "siskindale.proxy", ["check-settings", str(path)])
    process.signal(signal.SIGTERM)
    assert process.popen.wait(PATIENCE_S) == -signal.SIGTERM
