"""Runs programs and stand-ins as child processes that do not outlive the parent."""

import contextlib
import ctypes
import functools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType

import attrs
import gevent

from siskindale.models.address import Address

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
_PR_SET_PDEATHSIG = 1
_RETURNED_ADDRESSES: set[Address] = set()


def loopback_host() -> str:
    """Returns a loopback host address derived from the process id.

    Outgoing connections use 127.0.0.1 and other test processes their own address, so nothing takes
    a port of this address between its choice and the start of the program that listens on it.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{pid % 256 or 1}"


def free_addresses(count: int, host: str | None = None) -> list[Address]:
    """Returns addresses with ports that are free now and were not returned before."""
    bind_host = host or loopback_host()
    addresses: list[Address] = []
    while len(addresses) < count:
        with socket.socket() as sock:
            sock.bind((bind_host, 0))
            address = Address(bind_host, sock.getsockname()[1])
        if address not in _RETURNED_ADDRESSES:
            _RETURNED_ADDRESSES.add(address)
            addresses.append(address)
    return addresses


def accepts_connections(address: Address) -> bool:
    """Whether a connection to the address succeeds."""
    try:
        socket.create_connection((address.host, address.port), 0.5).close()
    except OSError:
        return False
    return True


def wait_until(condition: Callable[[], bool], timeout_s: float, description: str) -> None:
    """Polls a condition; raises `TimeoutError` if it does not become true in time."""
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"not within {timeout_s} s: {description}")
        gevent.sleep(POLL_INTERVAL_S)


_INTERRUPT_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def _die_with_parent(parent: int) -> None:
    # Asks the kernel to kill the child when its parent dies; otherwise it outlives a killed parent.
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # The parent was killed between the fork and the call above, so the signal was not sent.
        os._exit(1)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _INTERRUPT_SIGNALS)


@contextlib.contextmanager
def _interrupts_blocked() -> Iterator[None]:
    """Delays SIGINT and SIGTERM: Python ignores exceptions raised by handlers in fork hooks."""
    previous_mask = signal.pthread_sigmask(signal.SIG_BLOCK, _INTERRUPT_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous_mask)


@attrs.define
class Process:
    """A child process and the command that restarts it."""

    name: str
    command: tuple[str, ...]
    log: Path
    popen: "subprocess.Popen[bytes]"

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal unless the process has ended."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout_s: float) -> int | None:
        """Sends SIGTERM; returns the exit status, None if the process had to be killed."""
        self.signal(signal.SIGTERM)
        give_up_at = time.monotonic() + timeout_s
        while self.running:
            if time.monotonic() > give_up_at:
                self.kill()
                return None
            gevent.sleep(POLL_INTERVAL_S)
        return self.popen.returncode


class Processes:
    """Child processes of one experiment; leaving the context kills all of them."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._processes: dict[str, Process] = {}

    def __enter__(self) -> "Processes":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.kill_all()

    @property
    def all(self) -> list[Process]:
        """All processes that were started, including ended ones."""
        return list(self._processes.values())

    def get(self, name: str) -> Process:
        """Returns the process with the given name."""
        return self._processes[name]

    def start(self, name: str, module: str, arguments: Sequence[str]) -> Process:
        """Starts `python -m module`; its output goes to `<name>.log`."""
        command = (sys.executable, "-m", module, *arguments)
        log = self._directory / f"{name}.log"
        self._processes[name] = process = Process(name, command, log, self._spawn(command, log))
        return process

    def restart(self, name: str) -> Process:
        """Kills a process if it still runs and starts it again with the same command."""
        process = self._processes[name]
        process.kill()
        process.popen = self._spawn(process.command, process.log)
        return process

    def kill_all(self) -> None:
        """Kills all processes."""
        for process in self._processes.values():
            process.signal(signal.SIGKILL)
        for process in self._processes.values():
            process.popen.wait()

    def wait_accepting(self, name: str, address: Address) -> None:
        """Waits until a process listens; otherwise raises an error with the end of its log."""
        process = self._processes[name]
        try:
            wait_until(
                lambda: accepts_connections(address) or not process.running,
                READY_TIMEOUT_S,
                f"{name} ready",
            )
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.log_tail(name)}") from error
        if not process.running:
            raise RuntimeError(f"{name} ended during startup\n{self.log_tail(name)}")

    def log_tail(self, name: str) -> str:
        """Returns the last lines of a process's output."""
        return "\n".join(self._processes[name].log.read_text().splitlines()[-20:])

    def _spawn(self, command: tuple[str, ...], log: Path) -> "subprocess.Popen[bytes]":
        with log.open("ab") as output, _interrupts_blocked():
            return subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                # In a new session the children do not receive Ctrl-C; the parent ends them itself.
                start_new_session=True,
                preexec_fn=functools.partial(_die_with_parent, os.getpid()),
            )
