"""Following of the store's tables through outages."""

from siskindale.platform.store import CONNECT_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S
from siskindale.proxy import followers
from tests.proxy.deployment import Deployment, eventually

# A configuration must be in effect this long after the store has accepted it.
CONFIG_APPLY_S = 3.0


def test_a_hung_watch_ends_within_the_time_for_a_configuration() -> None:
    """Guards against a configuration that is learned too late after a silent outage.

    Seen on incident inc-1f1a of alpenrand-kurse: the store was silent until 7.25 s, and watches of
    8 s that had begun before kept the VMs from a configuration of that moment until after 10.3 s.
    """
    assert (
        followers.CATALOG_WAIT_S + WATCH_TIMEOUT_MARGIN_S + followers.TIMEOUT_RETRY_S
        < CONFIG_APPLY_S
    )
    assert CONNECT_TIMEOUT_S + followers.RETRY_S < CONFIG_APPLY_S


def test_a_configuration_is_learned_after_a_silent_outage(deployment: Deployment) -> None:
    """Guards against a watch that waits for ever for an answer that was lost."""
    proxy = deployment.start_proxy()
    deployment.platform.faults.stop_responding()
    deployment.configure(2, added={"kind": "primary"})
    deployment.platform.faults.unresponsive = False
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")
