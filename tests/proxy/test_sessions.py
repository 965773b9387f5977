"""Client sessions through a proxy process, with the stand-in of the platform."""

from unittest.mock import Mock

import gevent
import pytest
from gevent import socket

from bench.proxy_deployment import WAIT_TIMEOUT_S, Deployment, Proxy, eventually
from siskindale.proxy.decisions.identity import Caller
from siskindale.proxy.session import ClientSession


def test_reads_and_writes_carry_the_receipts_of_the_target(deployment: Deployment) -> None:
    """Guards against reporting a success that no target has confirmed."""
    client = deployment.start_proxy().client()
    assert client.greeting == b"READY I -\r\n"
    written = client.query("WRITE item data with blanks")
    assert written.error is None
    assert written.receipt is not None
    assert written.receipt.startswith(b"t0.")
    assert written.state == b"I"
    read = client.query("READ item")
    assert read.rows == (b"data with blanks",)
    assert [e.text for e in deployment.group.executions] == [
        b"WRITE item data with blanks",
        b"READ item",
    ]


def test_a_session_sees_its_own_commits_on_lagging_replicas(deployment: Deployment) -> None:
    """Guards against a read at a replica that lacks the session's last commit."""
    deployment.group.lag_s = 0.4
    client = deployment.start_proxy().client("own")
    for number in range(10):
        assert client.query(f"WRITE item {number}").error is None
        assert client.query("READ item").rows == (b"%d" % number,)


def wait_until_adopted(proxy: Proxy, version: int) -> None:
    """Waits until a proxy uses a version of the configuration."""
    words = {"event=catalog-adopted", f"version={version}"}
    eventually(
        lambda: any(words <= set(line.split()) for line in proxy.log.splitlines()),
        f"version {version} is adopted",
    )


def test_a_session_sees_its_own_commits_after_its_route_moved_to_a_group_and_back(
    deployment: Deployment,
) -> None:
    """Guards against reads that are judged by the session's commit in another group's log."""
    away = {"kind": "read_own", "service": deployment.add_group("g2").name}
    back = {"kind": "read_own"}
    # The proxy prefers targets in its own failure domain, so the primary is in another one here.
    deployment.group.promote("t1")
    deployment.group.lag_s = 0.6
    deployment.configure(2)
    proxy = deployment.start_proxy()
    client, feed = proxy.client("own"), proxy.client()
    for turn in range(3):
        for _ in range(20):
            assert feed.query("WRITE other 1").error is None
            gevent.sleep(0.04)
        assert client.query(f"WRITE item {turn}").error is None
        for version, route, text in ((10, away, "WRITE item 9"), (11, back, "READ item")):
            deployment.configure(version + 10 * turn, own=route)
            wait_until_adopted(proxy, version + 10 * turn)
            reply = client.query(text)
            assert reply.error is None
        assert reply.rows == (b"%d" % turn,)


def test_bounded_reads_are_served_by_replicas(deployment: Deployment) -> None:
    """Guards against reads that all go to the primary."""
    # The proxy prefers targets in its own failure domain, so the primary is in another one here.
    deployment.group.promote("t1")
    client = deployment.start_proxy().client("bounded")

    def replica_served() -> bool:
        assert client.query("READ item").error is None
        return deployment.group.executions[-1].target != deployment.group.primary.id

    eventually(replica_served, "a replica serves a read")


def test_a_transaction_stays_on_one_connection(deployment: Deployment) -> None:
    """Guards against statements of a transaction that run outside of it."""
    proxy = deployment.start_proxy()
    client, other = proxy.client(), proxy.client()
    assert client.query("BEGIN").state == b"T"
    assert client.query("WRITE item 1").state == b"T"
    assert other.query("READ item").rows == ()
    assert client.query("READ item").rows == (b"1",)
    committed = client.query("COMMIT")
    assert (committed.error, committed.state) == (None, b"I")
    assert other.query("READ item").rows == (b"1",)


def test_a_client_that_disconnects_commits_nothing(deployment: Deployment) -> None:
    """Guards against a commit that no client asked for."""
    proxy = deployment.start_proxy()
    client = proxy.client()
    client.query("BEGIN")
    client.query("WRITE item 1")
    client.close()
    other = proxy.client()
    for _ in range(20):
        assert other.query("READ item").rows == ()


def test_a_value_refused_with_a_lost_transaction_is_set_before_the_next_statement(
    deployment: Deployment,
) -> None:
    """Guards against a record of session values that counts what was sent, not what was confirmed.

    Seen after a transaction whose target had lost the lead: it refused the value and the prepared
    statement, its connection went back to the pool, and later statements ran on it without them.
    """
    proxy = deployment.start_proxy()
    setting, preparing = proxy.client("own"), proxy.client("own")
    assert preparing.query("PREPARE s READ shape").error is None
    for client in (setting, preparing):
        assert client.query("BEGIN").error is None
        assert client.query("READ item").error is None
    deployment.group.promote("t1")
    assert setting.query("SET tz rodopi").error is None
    deployment.group.executions.clear()
    for client, text in ((setting, "READ item"), (preparing, "EXEC s item")):
        assert client.query(text).error is not None
        assert client.query("ROLLBACK").error is None
        for _ in range(20):
            assert client.query(text).error is None
    values = [(e.shape, tuple(e.values)) for e in deployment.group.executions]
    assert values == [(b"", ((b"tz", b"rodopi"),))] * 20 + [(b"shape", ())] * 20
    assert "unknown-prepared" not in proxy.log


def test_prepared_names_and_values_of_sessions_are_isolated(deployment: Deployment) -> None:
    """Guards against using another client's prepared statement or value on a shared connection."""
    proxy = deployment.start_proxy()
    clients = [proxy.client() for _ in range(4)]
    for index, client in enumerate(clients):
        assert client.query(f"PREPARE s1 WRITE shape{index}").error is None
        if index % 2:
            assert client.query(f"SET zone {index}").error is None
    for turn in range(5):
        for index, client in enumerate(clients):
            assert client.query(f"EXEC s1 item{index} {turn}").error is None
            last = deployment.group.executions[-1]
            assert last.shape == b"shape%d" % index
            assert last.values == (frozenset({(b"zone", b"%d" % index)}) if index % 2 else set())


def test_a_value_set_in_a_transaction_reaches_its_connection(deployment: Deployment) -> None:
    """Guards against statements that run with old values on the transaction's connection."""
    client = deployment.start_proxy().client()
    client.query("BEGIN")
    client.query("READ item")
    client.query("SET zone 7")
    client.query("READ item")
    assert deployment.group.executions[-1].values == {(b"zone", b"7")}


@pytest.mark.parametrize(
    ("statement", "expected"),
    [("WRITE item 1", b"UNKNOWN"), ("READ item", None)],
)
def test_a_lost_reply_outside_a_transaction(
    deployment: Deployment, statement: str, expected: bytes | None
) -> None:
    """Guards against a write that is repeated, and against a read that is not."""
    client = deployment.start_proxy().client()
    assert client.query("READ item").error is None
    deployment.group.primary.faults.lose_replies = 1
    assert client.query(statement).error == expected
    runs = [e for e in deployment.group.executions if e.text == statement.encode()]
    assert len(runs) == (1 if expected else 3)


def test_a_lost_reply_in_a_transaction_aborts_it(deployment: Deployment) -> None:
    """Guards against an error that keeps the client from repeating a rolled-back transaction."""
    client = deployment.start_proxy().client()
    client.query("BEGIN")
    client.query("READ item")
    deployment.group.primary.faults.lose_replies = 1
    failed = client.query("WRITE item 1")
    assert (failed.error, failed.state) == (b"ABORTED", b"E")
    assert client.query("READ item").error == b"MALFORMED"
    assert client.query("ROLLBACK").state == b"I"
    assert client.query("READ item").rows == ()


def test_a_lost_reply_to_a_commit_leaves_the_outcome_unknown(deployment: Deployment) -> None:
    """Guards against reporting a rollback when the commit took effect."""
    client = deployment.start_proxy().client()
    client.query("BEGIN")
    client.query("WRITE item 1")
    deployment.group.primary.faults.lose_replies = 1
    assert client.query("COMMIT").error == b"UNKNOWN"
    assert client.query("READ item").rows == (b"1",)


def test_an_unknown_database_is_refused(deployment: Deployment) -> None:
    """Guards against a session without a route."""
    client = deployment.start_proxy().client("nowhere")
    assert client.greeting.startswith(b"ERR NODB")
    assert client.read_line() == b""


def test_a_change_of_routes_applies_from_the_next_transaction(deployment: Deployment) -> None:
    """Guards against routes that stay in use after the operator removed them."""
    proxy = deployment.start_proxy()
    client = proxy.client("own")
    client.query("BEGIN")
    assert client.query("READ item").error is None
    deployment.configure(2, own=None, added={"kind": "primary"})
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")
    assert client.query("READ item").error is None
    assert client.query("COMMIT").error is None
    assert client.query("READ item").error == b"NODB"


@pytest.mark.parametrize(
    "data",
    [b"HELLO\r\n", b"QUERY\r\n", b"QUERY - READ item\r\n", b"\xff\x00\r\n", b"x" * (3 << 20)],
)
def test_malformed_input_ends_only_its_session(deployment: Deployment, data: bytes) -> None:
    """Guards against a client that crashes the proxy or injects a statement."""
    proxy = deployment.start_proxy()
    hostile, client = proxy.client(), proxy.client()
    try:
        hostile.send(data)
        assert hostile.read_line().startswith(b"ERR MALFORMED")
    except OSError:
        # The proxy closes the socket with unread bytes, which resets the connection.
        pass
    assert client.query("READ item").error is None
    assert all(e.request_id != b"-" for e in deployment.group.executions)


def test_statements_split_over_segments_are_reassembled(deployment: Deployment) -> None:
    """Guards against a codec that treats a segment as a message."""
    client = deployment.start_proxy().client()
    for byte in b"QUERY x1 WRITE item 1":
        client.send(bytes([byte]))
    client.send(b"\r\nQUERY x2 READ item\r\n")
    assert client.read_reply().error is None
    assert client.read_reply().rows == (b"1",)


def test_reads_do_not_wait_for_a_position_that_a_promotion_rolled_back(
    deployment: Deployment,
) -> None:
    """Guards against a session that can no longer read after its last commit was rolled back."""
    deployment.group.lag_s = 60.0
    client = deployment.start_proxy().client("own")
    assert client.query("WRITE item 1").error is None
    deployment.group.promote("t1")
    assert client.query("READ item").rows == ()
    assert client.query("WRITE item 2").error is None
    assert client.query("READ item").rows == (b"2",)


def test_a_transaction_without_statements_ends_at_the_idle_limit(deployment: Deployment) -> None:
    """Guards against a client that sends BEGIN and nothing more and holds a connection."""
    deployment.transaction_idle_ms = 200
    deployment.configure(2)
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("BEGIN").state == b"T"
    eventually(lambda: "event=transaction-aborted" in proxy.log, "the transaction is rolled back")
    assert client.query("READ item").error == b"ABORTED"


@pytest.mark.parametrize("text", ["BEGIN", "NONSENSE"])
def test_a_misplaced_statement_fails_a_transaction_once(deployment: Deployment, text: str) -> None:
    """Guards against a client that is told twice that its transaction failed, for other reasons."""
    client = deployment.start_proxy().client()
    assert client.query("BEGIN").state == b"T"
    misplaced = client.query(text)
    assert (misplaced.error, misplaced.state) == (b"MALFORMED", b"E")
    assert client.query("READ item").error == b"MALFORMED"
    assert client.query("ROLLBACK").state == b"I"


def test_a_defect_is_answered_and_ends_the_session() -> None:
    """Guards against a client that gets no answer, and waits, because a statement hit a defect."""
    state = Mock()
    state.now.return_value = 0.0
    state.identify.return_value = Caller("")
    runners = Mock()
    runners.statements_for.side_effect = RuntimeError("defect")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    session = gevent.spawn(ClientSession(accepted, state, runners).run)
    client.sendall(b"START db1 test\r\nQUERY q1 READ item\r\n")
    session.join(WAIT_TIMEOUT_S)
    received = client.makefile("rb").read()
    assert received == b"READY I -\r\nERR UNKNOWN internal error\r\nREADY I -\r\n"
    client.close()
