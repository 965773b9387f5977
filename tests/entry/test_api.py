"""Tests of the callers' API over HTTP."""

import json
from collections.abc import Callable
from typing import Any

import attrs
import gevent
import pytest
from gevent import socket

from bench.processes import wait_until
from siskindale.entry import tokens
from siskindale.models.group import LogPosition
from siskindale.models.outcomes import RefusalKind
from siskindale.models.session import Session
from siskindale.models.settings import SessionKey
from siskindale.models.wire import StatementResult
from tests.entry.harness import (
    IDEMPOTENCY_KEY,
    Client,
    Deployment,
    FakePool,
    answer_after,
    club_caller,
    never_answer,
    refuse_with,
)

Deploy = Callable[..., Deployment]


def send_raw(deployment: Deployment, *parts: bytes, pause_s: float = 0.0) -> bytes:
    """Sends bytes on a new connection and returns everything that is received."""
    address = deployment.settings[0].entry.listen
    sock = socket.create_connection((address.host, address.port), 5.0)
    for part in parts:
        sock.sendall(part)
        gevent.sleep(pause_s)
    received = b""
    while chunk := sock.recv(65536):
        received += chunk
    sock.close()
    return received


def test_statement_is_answered(deployment: Deployment, client: Client) -> None:
    """Guards against an answer that loses columns, rows or the session."""
    response = client.statement(X_Request_Id="abc")
    assert response.status == 200
    assert response.json == {
        "outcome": "done",
        "columns": ["n"],
        "rows": [[1]],
        "row_count": 1,
        "served_by": {"target": "survey-0", "role": "primary"},
    }
    assert response.headers["x-request-id"].startswith("abc.")
    assert client.statement(Siskindale_Session=response.headers["siskindale-session"]).status == 200
    first, second = deployment.received_requests
    assert second.token.position > first.token.position == 0


def test_transaction_stays_with_its_pool(deployment: Deployment, client: Client) -> None:
    """Guards against statements of a transaction that reach a pool without it."""
    begun = client.request("POST", "/v1/databases/survey/transactions", {"class": "revisions"})
    assert begun.status == 201
    path = f"/v1/transactions/{begun.json['transaction']}"
    statement = client.request("POST", f"{path}/statements", {"sql": "select 1", "params": [2]})
    commit = client.request("POST", f"{path}/commit")
    assert (statement.status, commit.status) == (200, 200)
    assert [len(pool.received_requests) for pool in deployment.ranked_pools] == [3, 0, 0]


MALFORMED: list[tuple[Any, list[str]]] = [
    (b"{", ["body"]),
    (b"[1]", ["body"]),
    (b"\xff", ["body"]),
    (b"[" * 100_000, ["body"]),
    ({"sql": 1, "access": "delete"}, ["body.sql", "body.access", "body.class"]),
    ({"sql": "", "access": "read", "class": "x", "k": 1}, ["body.k", "body.sql"]),
    ({"sql": "s", "access": "read", "class": "x", "params": [[1]]}, ["body.params[0]"]),
    ({"sql": "s", "access": "read", "class": "x", "params": [1, 2**63]}, ["body.params[1]"]),
    ({"sql": "s", "access": "read", "class": "x", "max_age_ms": -1}, ["body.max_age_ms"]),
]


@pytest.mark.parametrize(("body", "places"), MALFORMED)
def test_malformed_body_lists_every_finding(
    deployment: Deployment, client: Client, body: Any, places: list[str]
) -> None:
    """Guards against reporting only one error at a time, and against a crash of the entry."""
    response = client.request("POST", "/v1/databases/survey/statements", body)
    assert (response.status, response.problem) == (400, "malformed-request")
    assert [finding["place"] for finding in response.json["findings"]] == places
    assert response.json["outcome"] == "not_run"
    assert response.json["request_id"] == response.headers["x-request-id"]
    assert deployment.received_requests == []
    assert client.statement().status == 200


def test_findings_of_headers_and_body_are_combined(client: Client) -> None:
    """Guards against a header error that hides a body error."""
    response = client.statement(sql=1, Siskindale_Deadline_Ms="soon", Idempotency_Key="x")
    places = [finding["place"] for finding in response.json["findings"]]
    assert places == ["Siskindale-Deadline-Ms", "Idempotency-Key", "body.sql"]


FORGED = tokens.encode([SessionKey("k1", "cd" * 32)], Session("club"))
OTHER = tokens.encode([SessionKey("k1", "ab" * 32)], Session("other"))
REFUSED: list[tuple[dict[str, Any], int, str]] = [
    ({"name": "unheard"}, 403, "forbidden"),
    ({"Siskindale_Session": "abc"}, 400, "invalid-session"),
    ({"Siskindale_Session": FORGED}, 400, "invalid-session"),
    ({"Siskindale_Session": OTHER}, 400, "invalid-session"),
    ({"access": "write", "name": "filings"}, 400, "idempotency-key-required"),
    (
        {"access": "write", "Idempotency_Key": IDEMPOTENCY_KEY.replace("-7", "-4")},
        400,
        "malformed-request",
    ),
    ({"access": "write", "Idempotency_Key": "7"}, 400, "malformed-request"),
    ({"Siskindale_Deadline_Ms": "0"}, 400, "malformed-request"),
    ({"Authorization": "Bearer other"}, 401, "unauthenticated"),
    ({"Authorization": "Basic club-token"}, 401, "unauthenticated"),
]


@pytest.mark.parametrize(("options", "status", "problem"), REFUSED)
def test_refused_request_is_not_sent_to_pools(
    deployment: Deployment, client: Client, options: dict[str, Any], status: int, problem: str
) -> None:
    """Guards against a refusal `not_run` of a request that ran."""
    response = client.statement(**options)
    assert (response.status, response.problem) == (status, problem)
    assert response.json["outcome"] == "not_run"
    assert deployment.received_requests == []


@pytest.mark.parametrize(
    ("method", "path", "status", "problem"),
    [
        ("POST", "/v1/databases/nowhere/statements", 404, "unknown-database"),
        ("POST", "/v1/databases/survey/tables", 404, "malformed-request"),
        ("GET", "/v1/databases/survey/statements", 405, "malformed-request"),
        ("POST", "/v1/transactions/abc/commit", 404, "unknown-transaction"),
    ],
)
def test_invalid_path(client: Client, method: str, path: str, status: int, problem: str) -> None:
    """Guards against error responses that are not problem documents."""
    body = {"sql": "s", "access": "read", "class": "browsing"} if "statements" in path else None
    response = client.request(method, path, body if method == "POST" else None)
    assert (response.status, response.problem) == (status, problem)


def test_database_without_grant(deployment: Deployment, client: Client) -> None:
    """Guards against callers that use databases of other callers."""
    current = deployment.bundles.current
    assert current is not None
    deployment.bundles.adopt(attrs.evolve(current, callers=(club_caller(databases=()),)))
    assert client.statement().problem == "forbidden"


def test_oversized_body(deploy: Deploy) -> None:
    """Guards against a body that exhausts memory, sent with a length or in chunks."""
    deployment = deploy(max_body_bytes=1000)
    client = deployment.client()
    response = client.statement(sql="x" * 2000)
    assert (response.status, response.problem) == (413, "request-too-large")
    head = b"POST /v1/databases/survey/statements HTTP/1.1\r\nAuthorization: Bearer club-token\r\n"
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    body = [b"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk, b"0\r\n\r\n"]
    assert b"413 " in send_raw(deployment, head, *body).split(b"\r\n")[0]


@pytest.mark.parametrize(
    "parts",
    [
        b"NONSENSE\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ],
)
def test_invalid_http(deployment: Deployment, parts: bytes) -> None:
    """Guards against requests that a load balancer and the entry would interpret differently."""
    answer = send_raw(deployment, parts)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"application/problem+json" in answer
    assert deployment.client().statement().status == 200


def test_incomplete_header_is_rejected(deployment: Deployment, client: Client) -> None:
    """Guards against a commit that runs although its request is incomplete."""
    begun = client.request("POST", "/v1/databases/survey/transactions", {"class": "revisions"})
    address = deployment.settings[0].entry.listen
    sock = socket.create_connection((address.host, address.port), 5.0)
    line = f"POST /v1/transactions/{begun.json['transaction']}/commit HTTP/1.1\r\n"
    sock.sendall(f"{line}Authorization: Bearer club-token\r\n".encode())
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(65536).startswith(b"HTTP/1.1 400 ")
    assert len(deployment.received_requests) == 1


def test_in_flight_limit(deployment: Deployment, client: Client) -> None:
    """Guards against one caller that uses up the capacity of all others."""
    current = deployment.bundles.current
    assert current is not None
    other = club_caller(
        name="other", token_sha256=club_caller().token_sha256[::-1], max_in_flight=1
    )
    deployment.bundles.adopt(attrs.evolve(current, callers=(club_caller(max_in_flight=1), other)))
    deployment.set_behaviour(answer_after(1.0))
    first = gevent.spawn(deployment.client().statement)
    wait_until(lambda: len(deployment.received_requests) == 1, 20.0, "the first request arrived")
    refused = client.statement()
    assert (refused.status, refused.problem) == (429, "overloaded")
    assert refused.headers["retry-after"] == "1"
    assert first.get().status == 200
    assert client.statement().status == 200


def test_connection_limit(deploy: Deploy) -> None:
    """Guards against connections that exhaust memory, and against a refusal without a reason."""
    deployment = deploy(max_callers=1)
    client = deployment.client()
    assert client.statement().status == 200
    refused = deployment.client().statement()
    assert (refused.status, refused.problem) == (503, "overloaded")
    assert client.statement().status == 200


def test_large_answer_is_complete(deployment: Deployment, client: Client) -> None:
    """Guards against an answer that is truncated without an error."""
    rows = tuple((i, "x" * 1000) for i in range(16_000))

    def large(pool: FakePool, delivery: Any) -> None:
        pool.answer(delivery, result=StatementResult(("i", "t"), rows, len(rows)))

    deployment.set_behaviour(large)
    response = client.statement()
    assert int(response.headers["content-length"]) == len(response.content)
    assert len(response.json["rows"]) == len(rows)


def test_slow_callers_do_not_block_others(deployment: Deployment, client: Client) -> None:
    """Guards against a caller that sends or reads slowly and blocks the event loop."""
    rows = tuple(("x" * 1000,) for _ in range(16_000))
    deployment.set_behaviour(
        lambda p, d: p.answer(d, result=StatementResult(("t",), rows, len(rows)))
    )
    body = json.dumps({"sql": "s", "access": "read", "class": "browsing"}).encode()
    head = b"POST /v1/databases/survey/statements HTTP/1.1\r\nAuthorization: Bearer club-token\r\n"
    address = deployment.settings[0].entry.listen
    readers = [socket.create_connection((address.host, address.port)) for _ in range(3)]
    senders = [socket.create_connection((address.host, address.port)) for _ in range(3)]
    for sock in readers:
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    for sock in senders:
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body[:5])
    wait_until(
        lambda: len(deployment.received_requests) == len(readers),
        20.0,
        "the requests of the readers arrived",
    )
    # Encoding the large answers takes seconds on a busy machine. The bound below applies once they
    # are being sent, because only then can a caller that does not read block others.
    for sock in readers:
        sock.settimeout(20.0)
        assert sock.recv(1)
    deployment.set_behaviour(lambda pool, delivery: pool.answer(delivery))
    with gevent.Timeout(1.0):
        assert client.statement().status == 200
    for sock in senders:
        sock.sendall(body[5:])
        assert sock.recv(100).startswith(b"HTTP/1.1 200 ")
    for sock in (*readers, *senders):
        sock.close()


def test_slow_request_times_out(deployment: Deployment, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against callers that hold connections open with incomplete requests."""
    monkeypatch.setattr(
        "siskindale.entry.server.ConnectionHandler.phase_age_s", lambda self, now: 11.0
    )
    head = b"POST /v1/databases/survey/statements HTTP/1.1\r\nAuthorization: Bearer club-token\r\n"
    answer = send_raw(deployment, head + b"Content-Length: 100\r\n\r\n{")
    assert answer.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize(
    ("requested_ms", "forwarded_ms"), [(None, 2000.0), (500, 500.0), (9000, 2000.0), (0, None)]
)
def test_effective_max_age(
    deployment: Deployment, client: Client, requested_ms: int | None, forwarded_ms: float | None
) -> None:
    """Guards against a read of data older than the bundle or the caller accepts."""
    assert client.statement(max_age_ms=requested_ms).status == 200
    assert deployment.received_requests[0].max_age_ms == forwarded_ms


def test_degraded_mode(deployment: Deployment, client: Client) -> None:
    """Guards against writes without a key and stale reads under a bundle that may be outdated."""
    deployment.bundles.degraded = True
    refused = client.statement("write", "revisions")
    assert (refused.status, refused.problem) == (503, "bundle-not-confirmed")
    begin = client.request("POST", "/v1/databases/survey/transactions", {"class": "revisions"})
    assert begin.problem == "bundle-not-confirmed"
    assert deployment.received_requests == []
    assert client.statement("write", "filings", Idempotency_Key=IDEMPOTENCY_KEY).status == 200
    assert client.statement().status == 200
    assert deployment.received_requests[-1].max_age_ms is None


def test_session_tokens_are_merged(deployment: Deployment, client: Client) -> None:
    """Guards against keeping the older of two tokens that concurrent answers returned."""
    keys = deployment.settings[0].session_keys
    old, new = (
        tokens.encode(keys, Session("club", {"survey": LogPosition(1, n), "gone": LogPosition(1)}))
        for n in (3, 900)
    )
    response = client.statement(Siskindale_Session=f"{new}, {old}")
    assert deployment.received_requests[0].token == LogPosition(1, 900)
    session = tokens.decode(keys, response.headers["siskindale-session"]).unwrap()
    assert session.positions == {"survey": LogPosition(1, 900)}


def test_lost_answer_is_unknown(deployment: Deployment, client: Client) -> None:
    """Guards against reporting `not_run` for a write that may have run."""
    deployment.set_behaviour(never_answer)
    response = client.statement("write", "revisions", Siskindale_Deadline_Ms="200")
    assert (response.status, response.problem) == (504, "answer-lost")
    assert response.json["outcome"] == "unknown"


def test_refusal_of_a_pool_reaches_the_caller(deployment: Deployment, client: Client) -> None:
    """Guards against an entry that replaces the refusal of a pool with another one."""
    deployment.set_behaviour(refuse_with(RefusalKind.INVALID_STATEMENT))
    response = client.statement("write", "revisions")
    assert (response.status, response.problem) == (400, "invalid-statement")
    assert len(deployment.received_requests) == 1


def test_status_and_readiness(deployment: Deployment) -> None:
    """Guards against a status or readiness that differs from the actual state of the entry."""
    status = deployment.get_health_page("/v1/operators/status").json
    assert status["members"] == ["vm0", "vm1", "vm2"]
    assert (status["bundle_version"], status["degraded"], status["draining"]) == (1, False, False)
    assert deployment.get_health_page("/readyz").status == 200
    deployment.bundles.current = None
    assert deployment.get_health_page("/readyz").status == 503
    assert b"siskindale_entry_requests_total" in deployment.get_health_page("/metrics").content
