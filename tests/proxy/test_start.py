"""Start of the session proxy, before and while its libraries are imported."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from bench.processes import ROOT, Processes, free_addresses
from bench.proxy_deployment import WAIT_TIMEOUT_S, Deployment, eventually
from siskindale.exits import ExitStatus
from siskindale.proxy import listening

HEAVY = ("gevent", "attr", "returns", "httptools", "msgspec", "pathlib")


def test_the_proxy_listens_before_libraries_are_imported(tmp_path: Path) -> None:
    """Guards against clients that are refused while the libraries are imported.

    After all VMs were killed, clients used up their retries on refused connections. On rsb-pool
    scale-1, this caused 36 of the 37 requests that were not served.
    """
    (address,) = free_addresses(1)
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
def test_settings_without_an_address_open_no_socket(tmp_path: Path, text: str) -> None:
    """Guards against a traceback where the program would report findings."""
    path = tmp_path / "proxy.json"
    path.write_text(text)
    assert listening.listen(str(path)) is None
    assert listening.listen(str(tmp_path / "missing.json")) is None


def test_a_session_opened_before_the_start_is_served(deployment: Deployment) -> None:
    """Guards against connections in the backlog that the program does not accept."""
    proxy = deployment.start_proxy(ready=False)
    assert "event=started" not in proxy.log
    assert proxy.client().greeting == b"READY I -\r\n"


def test_sigterm_during_the_start_is_not_lost(deployment: Deployment) -> None:
    """Guards against a proxy that ignores SIGTERM and is later killed with its sessions."""
    proxy = deployment.start_proxy(ready=False)
    proxy.process.signal(signal.SIGTERM)
    eventually(lambda: not proxy.process.running, "the proxy has ended")
    assert proxy.process.popen.returncode == 0


def test_a_command_can_be_interrupted(processes: Processes, tmp_path: Path) -> None:
    """Guards against commands that block SIGTERM, as the serving program does at its start."""
    path = tmp_path / "fifo.json"
    os.mkfifo(path)
    process = processes.start("check", "siskindale.proxy", ["check-settings", str(path)])
    process.signal(signal.SIGTERM)
    assert process.popen.wait(WAIT_TIMEOUT_S) == -signal.SIGTERM


@pytest.mark.parametrize(
    ("setting", "purpose", "kind"),
    [
        ("clients", "clients", socket.SOCK_STREAM),
        ("readiness", "readiness probes", socket.SOCK_STREAM),
        ("peers", "other VMs", socket.SOCK_DGRAM),
    ],
)
def test_an_address_in_use_gives_one_line_and_an_exit_status(
    deployment: Deployment, processes: Processes, setting: str, purpose: str, kind: int
) -> None:
    """Guards against a traceback for a mistake of the operator."""
    path, *_ = deployment.write_settings("vm1")
    address = json.loads(path.read_text())[setting]
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((host, int(port)))
        if kind == socket.SOCK_STREAM:
            other.listen()
        process = processes.start("vm1", "siskindale.proxy", ["--settings", str(path)])
        assert process.popen.wait(WAIT_TIMEOUT_S) == ExitStatus.ERROR
    log = process.log.read_text()
    expected = f"siskindale-proxy: error: cannot listen for {purpose} at {address}: Address"
    assert [line for line in log.splitlines() if line.startswith(expected)]
    assert "Traceback" not in log
