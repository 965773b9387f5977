"""Tests how the drivers report failures of targets and of the platform."""

import math
import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from returns.result import Success

from bench.deployment import GroupStandin, PlatformStandin
from bench.processes import wait_until
from siskindale.models.address import Address
from siskindale.models.bundle import Target
from siskindale.models.group import LogPosition, Role
from siskindale.store.http import http_platform
from siskindale.store.interface import Platform, PlatformFailure, Write
from siskindale.targets.http import HttpTargets
from siskindale.targets.interface import Begin, Commit, Statement, TargetFailure
from siskindale.transport.http import HttpConnection, HttpFailure
from siskindale.transport.metrics import TrafficCounters, TrafficPurpose

TIMEOUT_S = 5.0
# Single rounds are slower on a loaded machine; only the fastest one must meet the upper bound.
MEASURED_ROUNDS = 5
CREATE = Statement("CREATE TABLE t (n INTEGER PRIMARY KEY)")


def insert(n: int) -> Statement:
    return Statement("INSERT INTO t VALUES (?)", (n,))


def read_rows(group: GroupStandin, targets: HttpTargets, name: str = "survey-a") -> Any:
    connection = targets.connect(group.target(name), TIMEOUT_S).unwrap()
    return connection.run([Statement("SELECT n FROM t")], TIMEOUT_S).unwrap().results[0].rows


def test_write_with_lost_answer_has_unknown_outcome(
    group: GroupStandin, targets: HttpTargets
) -> None:
    """Guards against a write that is reported as not run although it took effect."""
    connection = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    connection.run([CREATE], TIMEOUT_S).unwrap()
    group.set_faults("survey-a", lose_next_answers=1, lose_paths=["/run"])
    error = connection.run([insert(1)], TIMEOUT_S).failure()
    assert (error.kind, connection.usable) == (TargetFailure.UNKNOWN, False)
    assert connection.run([insert(2)], TIMEOUT_S).failure().kind is TargetFailure.UNREACHABLE
    assert read_rows(group, targets) == ((1,),)


def test_killed_target_keeps_log_and_term(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against a restart that loses acknowledged entries or the term."""
    connection = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    connection.run([CREATE], TIMEOUT_S).unwrap()
    connection.run([insert(1)], TIMEOUT_S).unwrap()
    connection.run([Begin("write"), insert(2)], TIMEOUT_S).unwrap()
    group.process("survey-a").kill()
    control = targets.control(group.target("survey-a"))
    assert control.status(1).failure().kind is TargetFailure.UNREACHABLE
    # The kernel closed the connection before the batch, so the batch was not sent.
    assert connection.run([Commit()], TIMEOUT_S).failure().kind is TargetFailure.UNREACHABLE
    group.restart("survey-a")
    status = control.status(TIMEOUT_S).unwrap()
    assert (status.role, status.term, status.log) == (Role.PRIMARY, 1, LogPosition(1, 3))
    assert read_rows(group, targets) == ((1,),)


def test_closed_connection_rolls_back(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against a transaction that outlives its connection and blocks all writers."""
    first = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    first.run([CREATE], TIMEOUT_S).unwrap()
    first.run([Begin("write"), insert(1)], TIMEOUT_S).unwrap()
    waiting = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    assert waiting.run([insert(2)], 0.1).failure().kind is TargetFailure.UNKNOWN
    last = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    running = gevent.spawn(last.run, [insert(3)], TIMEOUT_S)
    gevent.sleep(0.05)
    first.close()
    running.get().unwrap()
    assert read_rows(group, targets) == ((3,),)


def test_limits_of_connections_and_slots(
    start_targets: Callable[..., GroupStandin], targets: HttpTargets
) -> None:
    """Guards against a stand-in that does not enforce the limits of a target."""
    group = start_targets(connections=3, slots=2, connect_ms=50)
    started = time.monotonic()
    opened = [targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap() for _ in range(3)]
    assert time.monotonic() - started >= 0.15
    refused = targets.connect(group.target("survey-a"), TIMEOUT_S)
    assert refused.failure().kind is TargetFailure.LIMIT
    slow = Statement("/* cost_ms=100 */ SELECT 1")
    took_s = []
    for _ in range(MEASURED_ROUNDS):
        started = time.monotonic()
        gevent.joinall([gevent.spawn(connection.run, [slow], TIMEOUT_S) for connection in opened])
        took_s.append(time.monotonic() - started)
    assert 0.2 <= min(took_s) < 0.3
    opened.pop().close()

    def can_connect() -> bool:
        return isinstance(targets.connect(group.target("survey-a"), TIMEOUT_S), Success)

    wait_until(can_connect, TIMEOUT_S, "a connection is accepted after one was closed")


def test_idle_connection_is_closed(
    start_targets: Callable[..., GroupStandin], targets: HttpTargets
) -> None:
    """Guards against an abandoned connection that counts against the limit forever."""
    group = start_targets(idle_timeout_s=0.2)
    connection = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    wait_until(lambda: not connection.usable, TIMEOUT_S, "the idle connection is closed")


def test_fence_aborts_open_writer(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against a commit in a term that its target has left."""
    connection = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    connection.run([CREATE], TIMEOUT_S).unwrap()
    connection.run([Begin("write"), insert(1)], TIMEOUT_S).unwrap()
    control = targets.control(group.target("survey-a"))
    assert control.fence(1, TIMEOUT_S).failure().kind is TargetFailure.TERM
    fenced = control.fence(5, TIMEOUT_S).unwrap()
    assert (fenced.role, fenced.term, fenced.matched) == (Role.FENCED, 5, False)
    assert connection.run([Commit()], TIMEOUT_S).failure().kind is TargetFailure.ROLE
    assert connection.run([insert(2)], TIMEOUT_S).failure().kind is TargetFailure.ROLE
    assert read_rows(group, targets) == ()
    assert control.promote(4, ("survey-a",), 1).failure().kind is TargetFailure.TERM
    promoted = control.promote(5, ("survey-a",), TIMEOUT_S).unwrap()
    assert (promoted.voters, promoted.previous_voters) == (("survey-a",), group.group.voters)
    assert control.promote(5, ("survey-a",), 1).failure().kind is TargetFailure.ROLE


def test_ship_and_apply_lag(
    start_targets: Callable[..., GroupStandin], targets: HttpTargets
) -> None:
    """Guards against lags that are not separate: entries are durable before they are visible."""
    group = start_targets(ship_lag_ms=150, apply_lag_ms=200)
    primary = targets.connect(group.target("survey-a"), TIMEOUT_S).unwrap()
    control = targets.control(group.target("survey-b"))
    durable_s, visible_s = [], []
    for position, statement in enumerate([CREATE, *map(insert, range(MEASURED_ROUNDS - 1))], 2):
        started = time.monotonic()
        primary.run([statement], TIMEOUT_S).unwrap()
        status = control.wait_position(1, position, TIMEOUT_S).unwrap()
        durable_s.append(time.monotonic() - started)
        assert (status.log.position, status.applied_position) == (position, position - 1)
        while control.status(TIMEOUT_S).unwrap().applied_position < position:
            gevent.sleep(0.005)
        visible_s.append(time.monotonic() - started)
    assert 0.15 <= min(durable_s) < 0.3
    assert 0.35 <= min(visible_s) < 0.5


def test_wait_position_ends_on_term_change(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against waiting for a position that an ended term will never reach."""
    control = targets.control(group.target("survey-b"))
    waiting = gevent.spawn(control.wait_position, 1, 99, TIMEOUT_S)
    gevent.sleep(0.05)
    control.fence(2, TIMEOUT_S).unwrap()
    assert waiting.get(timeout=0.5).unwrap().term == 2
    assert control.wait_position(2, 99, 0.3).unwrap().log.position == 1


def test_cut_affects_only_the_given_client_kind(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against a partition that also cuts off other clients."""
    pool = targets.control(group.target("survey-a"))
    controller = HttpTargets("controllers", "vm1").control(group.target("survey-a"))
    group.set_faults("survey-a", cut_from=["controllers"])
    pool.status(TIMEOUT_S).unwrap()
    assert controller.status(1).failure().kind is TargetFailure.UNKNOWN
    group.set_faults("survey-a", cut_from=["controllers"], cut_mode="hang")
    started = time.monotonic()
    assert controller.status(0.2).failure().kind is TargetFailure.UNKNOWN
    assert time.monotonic() - started >= 0.2


def test_replica_reports_contact_with_primary(group: GroupStandin, targets: HttpTargets) -> None:
    """Guards against a replica that reports contact with an unreachable primary."""
    control = targets.control(group.target("survey-b"))

    def heard_ms() -> float:
        heard = control.status(TIMEOUT_S).unwrap().primary_heard_ms
        return math.inf if heard is None else heard

    wait_until(lambda: heard_ms() < 200, TIMEOUT_S, "the replica has contact with its primary")
    group.set_faults("survey-a", cut_from=["survey-b"])
    wait_until(lambda: heard_ms() > 400, TIMEOUT_S, "the replica has lost contact")


@pytest.mark.parametrize(
    ("faults", "kind", "takes_effect"),
    [
        ({"down": True}, PlatformFailure.UNAVAILABLE, False),
        ({"lose_next_answers": 1}, PlatformFailure.UNKNOWN, True),
        ({"delay_ms": 1500}, PlatformFailure.UNKNOWN, True),
        ({"cut_from": ["test"]}, PlatformFailure.UNKNOWN, False),
    ],
)
def test_platform_faults(
    platform: Platform,
    platform_standin: PlatformStandin,
    faults: dict[str, Any],
    kind: PlatformFailure,
    takes_effect: bool,
) -> None:
    """Guards against a platform failure that is reported as not run although the write ran."""
    short_timeout_platform = http_platform(platform_standin.settings("test", timeout_ms=500))
    platform_standin.set_faults(**faults)
    error = short_timeout_platform.tables.commit([], [Write("t", "k", {"n": 1})]).failure()
    assert error.kind is kind
    platform_standin.set_faults(down=False, delay_ms=0, cut_from=[], lose_next_answers=0)
    assert (platform.tables.read("t", "k").unwrap() is not None) == takes_effect


def test_commit_is_not_resent_after_connection_loss(
    platform: Platform, platform_standin: PlatformStandin
) -> None:
    """Guards against a client that resends a commit when a kept-alive connection is lost."""
    platform.tables.commit([], [Write("t", "k", {"n": 1})]).unwrap()
    platform_standin.set_faults(down=True)
    error = platform.tables.commit([], [Write("t", "k", {"n": 2})]).failure()
    assert error.kind is PlatformFailure.UNAVAILABLE
    platform_standin.set_faults(down=False)
    assert platform.tables.read("t", "k").unwrap().value == {"n": 1}


def start_fixed_reply_server(*chunks: bytes, pause_s: float = 0.0) -> StreamServer:
    """Starts a server that answers each connection with the same bytes."""

    def handle(sock: socket.socket, _: Any) -> None:
        sock.recv(65536)
        for chunk in chunks:
            sock.sendall(chunk)
            gevent.sleep(pause_s)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    return server


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "


@pytest.mark.parametrize(
    "chunks",
    [
        (b"",),
        (b"garbage\r\n\r\n",),
        (RESPONSE_HEAD + b"10\r\n\r\n{}",),
        (RESPONSE_HEAD + b"2\r\n\r\n[]",),
        (RESPONSE_HEAD + b"2\r\n\r\n{}" + RESPONSE_HEAD + b"2\r\n\r\n{}",),
        (
            RESPONSE_HEAD
            + b'66\r\n\r\n{"id":2,"results":[],"term":1,"at":{},"role":"primary","matched":true}',
        ),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}",),
        (b"HTTP/1.1 100 Continue\r\n\r\n",),
    ],
)
def test_malformed_answers_have_unknown_outcome(
    chunks: tuple[bytes, ...], targets: HttpTargets
) -> None:
    """Guards against a truncated, malformed or unrelated answer taken as a result or refusal."""
    answers = iter([RESPONSE_HEAD + b"2\r\n\r\n{}", *chunks])

    def handle(sock: socket.socket, _: Any) -> None:
        for answer in answers:
            sock.recv(65536)
            sock.sendall(answer)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    address = Address("127.0.0.1", server.server_port)
    connection = targets.connect(Target("t", "d", address, address), TIMEOUT_S).unwrap()
    error = connection.run([insert(1)], 1.0).failure()
    assert (error.kind, connection.usable) == (TargetFailure.UNKNOWN, False)
    server.stop()


def test_timeout_covers_the_whole_answer() -> None:
    """Guards against a timeout that restarts with each received byte."""
    server = start_fixed_reply_server(
        *(b"HTTP/1.1 200 OK\r\nX: "[i : i + 1] for i in range(20)), pause_s=0.1
    )
    address = Address("127.0.0.1", server.server_port)
    connection = HttpConnection.connect(
        address, {}, 1.0, TrafficCounters(TrafficPurpose.TARGET_DATA)
    ).unwrap()
    started = time.monotonic()
    failure = connection.request("GET", "/", b"", 0.3).failure()
    assert isinstance(failure, HttpFailure)
    assert failure.maybe_sent
    assert time.monotonic() - started < 0.5
    server.stop()


def test_refused_connection_is_unreachable(targets: HttpTargets) -> None:
    """Guards against reporting an unknown outcome although nothing was sent."""
    address = Address("127.0.0.1", 1)
    target = Target("t", "d", address, address)
    assert targets.connect(target, 1.0).failure().kind is TargetFailure.UNREACHABLE
    assert targets.control(target).status(1.0).failure().kind is TargetFailure.UNREACHABLE
