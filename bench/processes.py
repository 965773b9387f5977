"""Starts programs and stand-ins as child processes and always ends them."""

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
READY_S = 15.0
READY_POLL_S = 0.02
_PR_SET_PDEATHSIG = 1
_RETURNED: set[Address] = set()


def own_host() -> str:
    """Returns a loopback address of this process.

    Outgoing connections and other test processes use 127.0.0.1, so that no port of this address is
    taken between its choice and the start of the program that listens there.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) % 256}.{pid % 256 or 1}"


def free_ports(count: int, host: str | None = None) -> list[Address]:
    """Returns addresses with ports that are free now and were not returned before."""
    own = host or own_host()
    found: list[Address] = []
    while len(found) < count:
        with socket.socket() as sock:
            sock.bind((own, 0))
            address = Address(own, sock.getsockname()[1])
        if address not in _RETURNED:
            _RETURNED.add(address)
            found.append(address)
    return found


def accepts(address: Address) -> bool:
    """Whether something listens at the address."""
    try:
        socket.create_connection((address.host, address.port), 0.5).close()
    except OSError:
        return False
    return True


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Polls a condition; raises `TimeoutError` that names what did not happen."""
    give_up = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        gevent.sleep(READY_POLL_S)


_INTERRUPTS = (signal.SIGINT, signal.SIGTERM)


def _die_with_parent(parent: int) -> None:
    # A child outlives a parent that was killed, unless the kernel ends it.
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # The parent was killed between the fork and the call above, which came too late.
        os._exit(1)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _INTERRUPTS)


@contextlib.contextmanager
def _interrupts_blocked() -> Iterator[None]:
    """Delays SIGINT and SIGTERM: Python ignores what a handler raises in a hook of fork."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, _INTERRUPTS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@attrs.define
class Process:
    """A child process with the command that restarts it."""

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
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def terminate(self, timeout_s: float) -> int | None:
        """Asks the process to end; returns its exit status, None if it had to be killed."""
        self.signal(signal.SIGTERM)
        give_up = time.monotonic() + timeout_s
        while self.running:
            if time.monotonic() > give_up:
                self.kill()
                return None
            gevent.sleep(READY_POLL_S)
        return self.popen.returncode


class Processes:
    """Child processes of one experiment; leaving the context ends all of them."""

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
        self.end()

    @property
    def all(self) -> list[Process]:
        """All processes that were started, also ended ones."""
        return list(self._processes.values())

    def get(self, name: str) -> Process:
        """Returns the process of that name."""
        return self._processes[name]

    def start(self, name: str, module: str, arguments: Sequence[str]) -> Process:
        """Starts `python -m module`; its output goes to `<name>.log`."""
        command = (sys.executable, "-m", module, *arguments)
        log = self._directory / f"{name}.log"
        self._processes[name] = process = Process(name, command, log, self._spawn(command, log))
        return process

    def restart(self, name: str) -> Process:
        """Starts an ended process again with the same command."""
        process = self._processes[name]
        process.kill()
        process.popen = self._spawn(process.command, process.log)
        return process

    def end(self) -> None:
        """Kills all processes."""
        for process in self._processes.values():
            process.signal(signal.SIGKILL)
        for process in self._processes.values():
            process.popen.wait()

    def wait_accepting(self, name: str, address: Address) -> None:
        """Waits until a process listens; raises with the end of its log if it does not."""
        process = self._processes[name]
        try:
            wait_until(lambda: accepts(address) or not process.running, READY_S, f"{name} ready")
        except TimeoutError as error:
            raise TimeoutError(f"{error}\n{self.log_tail(name)}") from error
        if not process.running:
            raise RuntimeError(f"{name} ended at its start\n{self.log_tail(name)}")

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
                # A new session keeps Ctrl-C from the children; the parent ends them itself.
                start_new_session=True,
                preexec_fn=functools.partial(_die_with_parent, os.getpid()),
            )
