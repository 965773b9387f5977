"""Tests of following the store's tables through outages."""

import pytest

from siskindale.platform.store import CONNECT_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S
from siskindale.proxy import followers
from tests.proxy.deployment import Deployment, eventually
from tests.proxy.settings import build_settings


@pytest.mark.parametrize("apply_s", [3.0, 5.0, 6.0])
def test_a_hung_watch_ends_before_a_configuration_must_take_effect(apply_s: float) -> None:
    """Guards against a configuration that takes effect too late after an outage without answers.

    Seen in incident inc-1f1a of alpenrand-kurse: the store did not answer until 7.25 s, and because
    of watches of 8 s that had begun earlier, the VMs got a configuration of that moment only after
    10.3 s.
    """
    wait_s = followers.catalog_wait(build_settings(catalog_apply_s=apply_s))
    assert wait_s + WATCH_TIMEOUT_MARGIN_S + followers.TIMEOUT_RETRY_S < apply_s
    assert apply_s > CONNECT_TIMEOUT_S + followers.RETRY_S


def test_a_configuration_is_applied_after_an_outage_without_answers(deployment: Deployment) -> None:
    """Guards against a watch that waits forever for a lost answer."""
    proxy = deployment.start_proxy()
    deployment.platform.faults.stop_responding()
    deployment.configure(2, added={"kind": "primary"})
    deployment.platform.faults.unresponsive = False
    eventually(lambda: proxy.client("added").greeting == b"READY I -\r\n", "new route is known")
