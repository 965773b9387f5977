"""Entry and pools over real sockets: silence, late, crossed and repeated answers, drains."""

from typing import Any

import attrs
import gevent
import pytest

from bench.processes import wait_until
from siskindale.models.outcomes import RefusalKind
from siskindale.models.wire import DrainNotice, StatementResult
from tests.entry.harness import KEY, Client, Deployment, FakePool, after, done, refusing, silent

WRITE: dict[str, Any] = {"access": "write", "name": "revisions"}
# A loaded machine may take this long where the programs take milliseconds.
PATIENCE_S = 20.0
KEYED: dict[str, Any] = WRITE | {"Idempotency_Key": KEY}


def counts(deployment: Deployment) -> list[int]:
    """Number of requests that the pools got, in their rank."""
    return [len(pool.received) for pool in deployment.ranked]


def dropped(deployment: Deployment) -> dict[str, int]:
    """Number of dropped answers by reason."""
    return dict(deployment.service.dispatcher.dropped_answers)


def test_load_is_spread_over_the_first_pools(deployment: Deployment) -> None:
    """Guards against one pool that gets all requests, and against a third that gets any."""
    deployment.behave(after(0.2))
    callers = [gevent.spawn(deployment.client().statement) for _ in range(8)]
    assert {caller.get().status for caller in callers} == {200}
    assert counts(deployment) == [4, 4, 0]


@pytest.mark.parametrize("options", [{}, KEYED])
def test_request_goes_elsewhere_when_a_pool_is_dead(
    deployment: Deployment, client: Client, options: dict[str, Any]
) -> None:
    """Guards against callers that wait for a dead pool although another can answer."""
    deployment.ranked[0].dead = True
    with gevent.Timeout(2.0):
        assert client.statement(**options).status == 200
    assert client.statement().status == 200
    assert counts(deployment) == [0, 2, 0]
    dead = deployment.ranked[0].vm
    assert deployment.service.status()["avoided_pools"] == [dead]
    assert deployment.ranked[1].received[1].excluded_pools == (dead,)


def test_next_in_rank_replaces_a_dead_pool(deployment: Deployment, client: Client) -> None:
    """Guards against a group that has one pool left although k are wanted."""
    deployment.ranked[0].dead = True
    assert client.statement().status == 200
    deployment.behave(after(0.2))
    callers = [gevent.spawn(deployment.client().statement) for _ in range(4)]
    assert {caller.get().status for caller in callers} == {200}
    assert counts(deployment) == [0, 3, 2]


def test_dead_pool_is_used_again_after_a_probe(deployment: Deployment, client: Client) -> None:
    """Guards against a pool that is avoided for ever, or tried with a caller's request."""
    deployment.ranked[0].dead = True
    assert client.statement().status == 200
    deployment.ranked[0].dead = False
    dispatcher = deployment.service.dispatcher
    wait_until(lambda: dispatcher.avoided_pools == [], PATIENCE_S, "the pool answered a probe")
    assert client.statement().status == 200
    assert counts(deployment) == [1, 1, 0]


def test_slow_statement_is_no_silent_pool(deployment: Deployment, client: Client) -> None:
    """Guards against long statements that make the entry avoid a working pool."""
    deployment.behave(after(1.2))
    assert client.statement().status == 200
    assert deployment.service.dispatcher.avoided_pools == []
    assert counts(deployment) == [1, 0, 0]


def test_write_without_key_is_sent_once(deployment: Deployment, client: Client) -> None:
    """Guards against a write that runs twice because its answer was lost."""
    deployment.ranked[0].behaviour = silent
    response = client.statement(**WRITE, Siskindale_Deadline_Ms="800")
    assert (response.status, response.json["outcome"]) == (504, "unknown")
    assert counts(deployment) == [1, 0, 0]


@pytest.mark.parametrize("options", [{}, KEYED])
def test_lost_answer_is_asked_for_elsewhere(
    deployment: Deployment, client: Client, options: dict[str, Any]
) -> None:
    """Guards against a read or keyed write that fails because one message was lost."""
    deployment.ranked[0].behaviour = silent
    assert client.statement(**options, Siskindale_Deadline_Ms="600").status == 200
    assert counts(deployment) == [1, 1, 0]


@pytest.mark.parametrize(
    "kind", [RefusalKind.WRONG_POOL, RefusalKind.SHUTTING_DOWN, RefusalKind.UNAVAILABLE]
)
def test_refused_write_goes_to_the_next_pool(
    deployment: Deployment, client: Client, kind: RefusalKind
) -> None:
    """Guards against callers that see a refusal of one pool while another can run the write."""
    deployment.ranked[0].behaviour = refusing(kind)
    assert client.statement(**WRITE).status == 200
    assert counts(deployment) == [1, 1, 0]


def test_refusal_by_all_pools_is_not_run(deployment: Deployment, client: Client) -> None:
    """Guards against `unknown` although every pool said that it did not run the write."""
    deployment.behave(refusing(RefusalKind.WRONG_POOL))
    response = client.statement(**WRITE)
    assert (response.status, response.problem) == (503, "wrong-pool")
    assert counts(deployment) == [1, 1, 1]


def test_refusal_after_a_lost_write_stays_unknown(deployment: Deployment, client: Client) -> None:
    """Guards against `not_run` from a second pool for a write that the first one may have run."""
    first, second, _ = deployment.ranked
    first.behaviour, second.behaviour = silent, refusing(RefusalKind.OVERLOADED)
    response = client.statement(**KEYED, Siskindale_Deadline_Ms="400")
    assert (response.status, response.json["outcome"]) == (504, "unknown")


def test_deadline_before_the_request_is_sent(deployment: Deployment, client: Client) -> None:
    """Guards against a late request that is refused for the lack of pools."""
    body = b'{"sql": "s", "access": "write", "class": "revisions"}'
    connection = client.connection
    client.connect()
    connection.putrequest("POST", "/v1/databases/survey/statements")
    for name, value in {**client.headers, "Siskindale-Deadline-Ms": "50"}.items():
        connection.putheader(name, value)
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    gevent.sleep(0.2)
    connection.send(body)
    response = connection.getresponse()
    assert (response.status, b"deadline-exceeded" in response.read()) == (503, True)
    assert deployment.received == []


def test_retry_budget_bounds_retries(deployment: Deployment, client: Client) -> None:
    """Guards against retries that multiply the load on pools that are in trouble."""
    current = deployment.bundles.current
    assert current is not None
    deployment.bundles.adopt(attrs.evolve(current, retry_budget=0.0))
    deployment.behave(refusing(RefusalKind.UNAVAILABLE))
    for _ in range(40):
        assert client.statement(**WRITE).status == 503
    assert 40 <= sum(counts(deployment)) < 60


def test_late_answer_is_dropped(deployment: Deployment, client: Client) -> None:
    """Guards against an answer that reaches the next request of the connection."""
    deployment.behave(after(1.0))
    assert client.statement(**WRITE, Siskindale_Deadline_Ms="500").status == 504
    deployment.behave(done)
    assert client.statement(**WRITE).status == 200
    wait_until(lambda: bool(dropped(deployment)), PATIENCE_S, "the late answer has come")
    assert dropped(deployment) == {"not-pending": 1}


def test_repeated_answer_is_dropped(deployment: Deployment, client: Client) -> None:
    """Guards against the second copy of an answer that reaches another request."""

    def twice(pool: FakePool, delivery: Any) -> None:
        pool.answer(delivery)
        pool.answer(delivery, target="copy")

    deployment.behave(twice)
    served = [client.statement().json["served_by"]["target"] for _ in range(5)]
    assert served == ["survey-0"] * 5
    expected = {"not-pending": 5}
    wait_until(lambda: dropped(deployment) == expected, PATIENCE_S, "all copies have come")
    assert dropped(deployment) == {"not-pending": 5}


def test_crossed_answers_are_dropped(deployment: Deployment) -> None:
    """Guards against a caller that gets the rows of another one."""
    held: list[Any] = []

    def crossed(pool: FakePool, delivery: Any) -> None:
        held.append(delivery)
        if len(held) == 2:
            first, second = held
            pool.answer(first, request_id=second.body.request_id)
            pool.answer(second, request_id=first.body.request_id)

    deployment.behave(crossed)
    options = WRITE | {"Siskindale_Deadline_Ms": "300"}
    callers = [gevent.spawn(deployment.client().statement, **options) for _ in range(2)]
    assert [caller.get().status for caller in callers] == [504, 504]
    assert dropped(deployment) == {"other-request": 2}


def test_answer_to_another_boot_is_dropped(deployment: Deployment, client: Client) -> None:
    """Guards against an answer to a request of the entry before its restart."""

    def behave(pool: FakePool, delivery: Any) -> None:
        envelope = attrs.evolve(delivery.envelope, sender_boot="")
        pool.answer(attrs.evolve(delivery, envelope=envelope))

    deployment.behave(behave)
    assert client.statement(**WRITE, Siskindale_Deadline_Ms="200").status == 504
    assert dropped(deployment) == {"other-boot": 1}


def test_answers_match_requests_in_any_order(deployment: Deployment) -> None:
    """Guards against answers that arrive out of order and reach the wrong callers."""
    held: list[tuple[FakePool, Any]] = []
    deployment.behave(lambda pool, delivery: held.append((pool, delivery)))
    clients = [deployment.client() for _ in range(20)]
    callers = [gevent.spawn(c.statement, params=[i]) for i, c in enumerate(clients)]
    wait_until(lambda: len(held) == len(callers), PATIENCE_S, "all requests have come")
    for pool, delivery in reversed(held):
        rows = StatementResult(("n",), (delivery.body.params,), 1)
        pool.answer(delivery, result=rows)
    assert [caller.get().json["rows"] for caller in callers] == [[[i]] for i in range(20)]


def test_draining_pool_gets_no_new_work(deployment: Deployment, client: Client) -> None:
    """Guards against new requests at a pool that is about to end."""
    first = deployment.ranked[0]
    begun = client.request("POST", "/v1/databases/survey/transactions", {"class": "revisions"})
    first.mailbox.send(deployment.parts.mailbox.url, DrainNotice(f"{first.vm}/pool"))
    dispatcher = deployment.service.dispatcher
    wait_until(lambda: dispatcher.avoided_pools == [first.vm], PATIENCE_S, "the notice has come")
    assert client.statement().status == 200
    path = f"/v1/transactions/{begun.json['transaction']}/commit"
    assert client.request("POST", path).status == 200
    assert counts(deployment) == [2, 1, 0]


def test_pool_that_lies_about_its_answer_ends_no_process(
    deployment: Deployment, client: Client
) -> None:
    """Guards against an answer without reason or result that stops the entry."""
    deployment.behave(lambda pool, delivery: pool.answer(delivery, outcome="unknown"))
    assert client.statement(**WRITE).status == 504
    deployment.behave(lambda pool, delivery: pool.answer(delivery, result=None, target=""))
    assert client.statement(**WRITE).json == {"outcome": "done"}
