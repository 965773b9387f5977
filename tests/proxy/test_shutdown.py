"""Shutdown of a proxy while clients use it, and the decisions behind it."""

import itertools
import signal
import socket as system_socket
import struct
from collections.abc import Callable, Iterator
from unittest.mock import Mock

import gevent
import pytest
from gevent import socket

from bench.processes import free_addresses, wait_until
from bench.proxy_deployment import WAIT_TIMEOUT_S, Client, Deployment, Proxy, eventually
from siskindale.proxy.decisions.draining import (
    BALANCER_STOP_S,
    DrainPhase,
    closing_quota,
    next_phase,
)
from siskindale.proxy.decisions.identity import Caller
from siskindale.proxy.server import SessionServer
from siskindale.proxy.session import ClientSession

GRACE_S = 6.0
TICK_S = 0.05


class _Traffic:
    """Clients that open a session again as soon as it ends, although the proxy stops."""

    def __init__(self, proxy: Proxy, count: int) -> None:
        self._proxy = proxy
        self._ids = itertools.count(1)
        self.unanswered: list[bytes] = []
        self._greenlets = [gevent.spawn(self._run) for _ in range(count)]

    def wait(self) -> None:
        """Waits until no client can connect any more."""
        gevent.joinall(self._greenlets, raise_error=True)

    def _run(self) -> None:
        while True:
            try:
                client = self._proxy.client()
            except ConnectionRefusedError:
                return
            except ConnectionError:
                continue
            self._use(client)

    def _use(self, client: Client) -> None:
        while True:
            request_id = f"r{next(self._ids)}"
            try:
                client.query("WRITE item 1", request_id)
            except OSError:
                self.unanswered.append(request_id.encode())
                return


def test_a_stopping_proxy_answers_what_it_passed_on(deployment: Deployment) -> None:
    """Guards against a process that takes requests until it ends, in the middle of some.

    The load balancer goes on sending clients while too few other VMs are ready.
    """
    proxy = deployment.start_proxy()
    for target in deployment.group.targets.values():
        target.faults.delay_s = 0.015
    traffic = _Traffic(proxy, 12)
    gevent.sleep(0.5)
    proxy.process.signal(signal.SIGTERM)
    traffic.wait()
    ran = {execution.request_id for execution in deployment.group.executions}
    assert len(ran) > 20
    assert not ran & set(traffic.unanswered)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("WRITE item 1", {b"UNKNOWN", b"BUSY"}),
        ("READ item", {b"BUSY"}),
    ],
)
def test_a_statement_without_reply_is_answered_before_the_process_ends(
    deployment: Deployment, text: str, expected: set[bytes]
) -> None:
    """Guards against statements that a shutdown cuts off without an answer.

    Those that still wait for a connection have not run, and are told so.
    """
    deployment.configure(2, slow={"kind": "primary", "timeout_ms": 30000})
    proxy = deployment.start_proxy()
    clients = [proxy.client("slow") for _ in range(12)]
    assert all(client.query("READ item").error is None for client in clients)
    deployment.group.primary.faults.drop_requests = True
    requests = [gevent.spawn(client.query, text) for client in clients]
    gevent.sleep(0.3)
    proxy.process.signal(signal.SIGTERM)
    gevent.joinall(requests, raise_error=True)
    assert {request.value.error for request in requests} == expected
    eventually(lambda: not proxy.process.running, "the proxy has ended")
    assert proxy.process.popen.returncode == 0
    ran = [e for e in deployment.group.executions if e.text == b"WRITE item 1"]
    assert not ran


def _reset(sock: system_socket.socket) -> None:
    """Closes a connection as a client does that leaves with unread bytes."""
    sock.setsockopt(system_socket.SOL_SOCKET, system_socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


@pytest.fixture
def waiting_session() -> Iterator[tuple[ClientSession, system_socket.socket]]:
    """A session that waits for a request, and the socket of its client."""
    state = Mock()
    state.identify.return_value = Caller("")
    with system_socket.create_server(("127.0.0.1", 0)) as listener:
        client = system_socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    session = ClientSession(socket.socket(fileno=accepted.detach()), state, Mock())
    greenlet = gevent.spawn(session.run)
    client.sendall(b"START db1 test\r\n")
    wait_until(lambda: session.idle, WAIT_TIMEOUT_S, "the session waits")
    yield session, client
    greenlet.kill()


def test_a_session_that_its_client_has_reset_can_be_closed(
    waiting_session: tuple[ClientSession, system_socket.socket],
) -> None:
    """Guards against a shutdown that ends at once because clients reset idle sessions.

    The session has not noticed the reset, since its greenlet has not run since.
    """
    session, client = waiting_session
    _reset(client)
    assert session.close_if_idle()


def test_one_session_does_not_end_a_shutdown() -> None:
    """Guards against a session whose failure leaves all others unclosed."""
    server = SessionServer(free_addresses(1)[0], Mock(), Mock(), None)
    broken, sound = Mock(), Mock()
    broken.close_if_idle.side_effect = broken.abort_transaction.side_effect = RuntimeError
    sound.close_if_idle.return_value = True
    server.sessions.update((broken, sound))
    server.close_idle(2)
    server.abort_transactions()
    sound.close_if_idle.assert_called_once_with()
    sound.abort_transaction.assert_called_once_with("shutdown")


def test_requests_are_refused_before_the_end_although_clients_come_back() -> None:
    """Guards against a shutdown that serves sessions until its time is over.

    Replays a load balancer that never stops sending clients: 30 sessions at each moment.
    """
    phases = _replay(lambda _: 30)
    assert phases[0] is DrainPhase.SERVING
    assert phases[round(GRACE_S / 2 / TICK_S) + 1] is DrainPhase.FINISHING
    assert phases[-2:] == [DrainPhase.INTERRUPTING, DrainPhase.ENDED]
    assert len(phases) * TICK_S <= GRACE_S - 0.4


def test_a_shutdown_without_sessions_refuses_before_it_ends() -> None:
    """Guards against an exit in the moment in which a client connects."""
    phases = _replay(lambda _: 0)
    assert phases[-2:] == [DrainPhase.FINISHING, DrainPhase.ENDED]
    assert BALANCER_STOP_S <= len(phases) * TICK_S < BALANCER_STOP_S + 0.3


def test_a_shutdown_ends_as_soon_as_the_last_request_is_answered() -> None:
    """Guards against a VM that stays away longer than its requests take."""
    phases = _replay(lambda elapsed_s: 5 if elapsed_s < 3.4 else 0)
    assert DrainPhase.INTERRUPTING not in phases
    assert len(phases) * TICK_S < 3.6


def test_idle_sessions_are_closed_at_an_even_rate() -> None:
    """Guards against all clients reconnecting to the other VMs at once."""
    remaining = 600
    closed = []
    for tick in range(round(GRACE_S / 2 / TICK_S)):
        quota = closing_quota(remaining, tick * TICK_S, GRACE_S, TICK_S)
        closed.append(min(quota, remaining))
        remaining -= closed[-1]
    assert remaining == 0
    assert max(closed) <= 11


def _replay(count_at: Callable[[float], int]) -> list[DrainPhase]:
    """Returns the phase at each tick, with `count_at` unfinished sessions at a time."""
    phases = [DrainPhase.SERVING]
    while phases[-1] is not DrainPhase.ENDED:
        elapsed_s = len(phases) * TICK_S
        phases.append(next_phase(phases[-1], elapsed_s, GRACE_S, count_at(elapsed_s)))
    return phases
