"""A store that is slow, limits the rate of calls, or loses responses."""

from bench.proxy_deployment import Deployment, eventually
from siskindale.store.versions import version_in_era


def test_a_slow_store_does_not_delay_statements(deployment: Deployment) -> None:
    """Guards against sessions that wait for calls to the store."""
    deployment.platform.faults.delay_s = 0.3
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    deployment.configure(2, added={"kind": "primary"})
    assert client.query("READ item").rows == (b"1",)
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")


def test_a_configuration_is_applied_after_rate_limited_calls(
    deployment: Deployment,
) -> None:
    """Guards against a follower that gives up after a refused call."""
    proxy = deployment.start_proxy()
    deployment.platform.faults.rate_limited = True
    deployment.configure(2, added={"kind": "primary"})
    eventually(lambda: "store-unavailable" in proxy.log, "the refusal is logged")
    assert proxy.client().query("WRITE item 1").error is None
    deployment.platform.faults.rate_limited = False
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")


def test_a_duty_is_held_although_the_response_was_lost(deployment: Deployment) -> None:
    """Guards against a holder that does not recognize itself as such and cannot promote."""
    deployment.platform.faults.lose_commits = 1
    proxy = deployment.start_proxy()
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: "event=duty-taken" in proxy.log, "the duty is held")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "another target is the primary")
    row = deployment.platform.row("duties", "failover")
    assert row is not None
    token = version_in_era(deployment.platform.era, row.version)
    assert {call.fencing_token for call in deployment.platform.promotions} == {token}
