"""Bounded log output under load and without a reader."""

import os
from collections.abc import Iterator

import pytest

from siskindale.runtime.log_stream import MAX_BURST_LINES, MAX_LINES_PER_S, BoundedStream
from tests.fakes.clock import FakeClock


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    yield read_fd, write_fd
    for descriptor in (read_fd, write_fd):
        os.close(descriptor)


def test_excess_lines_are_dropped_and_counted(pipe: tuple[int, int]) -> None:
    """Guards against logging that takes CPU time from requests during mass failures."""
    clock = FakeClock()
    stream = BoundedStream(pipe[1], clock.monotonic)
    for _ in range(int(MAX_BURST_LINES) + 50):
        stream.write("x\n")
    clock.now += 1.0
    stream.write("later\n")
    stream.flush()
    lines = os.read(pipe[0], 1 << 16).decode().splitlines()
    assert lines.count("x") == MAX_BURST_LINES
    assert lines[-2:] == ["level=warning event=log-lines-dropped count=50", "later"]
    assert MAX_LINES_PER_S > 100


def test_unread_pipe_does_not_block(pipe: tuple[int, int]) -> None:
    """Guards against an event loop that blocks because nobody reads its logs."""
    clock = FakeClock()
    stream = BoundedStream(pipe[1], clock.monotonic)
    for _ in range(2000):
        clock.now += 1.0
        stream.write("x" * 1000 + "\n")
        stream.flush()
    os.read(pipe[0], 1 << 20)
    clock.now += 1.0
    stream.flush()
    stream.write("later\n")
    stream.flush()
    assert os.read(pipe[0], 1 << 20)


def test_lines_are_collected_for_one_write(pipe: tuple[int, int]) -> None:
    """Guards against a system call for each line, which took a tenth of a proxy's CPU time."""
    stream = BoundedStream(pipe[1], FakeClock().monotonic)
    stream.write("a\n")
    stream.write("b\n")
    with pytest.raises(BlockingIOError):
        os.read(pipe[0], 100)
    stream.flush()
    assert os.read(pipe[0], 100) == b"a\nb\n"
