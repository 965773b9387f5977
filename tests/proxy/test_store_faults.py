"""A store that is slow, refuses calls for their rate, or loses answers."""

from tests.proxy.deployment import Deployment, eventually


def test_a_slow_store_delays_no_statement(deployment: Deployment) -> None:
    """Guards against sessions that wait for calls of the store."""
    deployment.platform.faults.delay_s = 0.3
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    deployment.configure(2, added={"kind": "primary"})
    assert client.query("READ item").rows == (b"1",)
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")


def test_a_configuration_is_learned_after_calls_were_refused_for_their_rate(
    deployment: Deployment,
) -> None:
    """Guards against a follower that gives up after a refusal."""
    proxy = deployment.start_proxy()
    deployment.platform.faults.limited = True
    deployment.configure(2, added={"kind": "primary"})
    eventually(lambda: "store-unavailable" in proxy.log, "the refusal is noticed")
    assert proxy.client().query("WRITE item 1").error is None
    deployment.platform.faults.limited = False
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")


def test_a_duty_whose_answer_was_lost_is_held(deployment: Deployment) -> None:
    """Guards against a holder that takes itself for another one, and cannot promote."""
    deployment.platform.faults.lose_commits = 1
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: "event=duty-taken" in proxy.log, "the duty is held")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a successor leads")
    row = deployment.platform.row("duties", "failover")
    assert row is not None
    assert {call.fencing_token for call in deployment.platform.promotions} == {row.version}
