"""Tests of following the store's tables through outages."""

import pytest
from returns.result import Failure, Result, Success

from siskindale.platform.store import CONNECT_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S
from siskindale.proxy import followers
from siskindale.store.interface import Changes, PlatformError, PlatformFailure
from tests.fakes.platform import FakePlatform
from tests.proxy.deployment import Deployment, eventually
from tests.proxy.settings import build_settings


class SilentTables(FakePlatform):
    """Tables that record how long each watch waits, and give no answer while `silent`."""

    def __init__(self) -> None:
        super().__init__()
        self.silent = False
        self.waits: list[float] = []

    def snapshot(self, table: str) -> Result[Changes, PlatformError]:
        """Returns an empty table."""
        return Success(Changes((), version=1))

    def watch(self, table: str, after: int, wait_s: float) -> Result[Changes, PlatformError]:
        """Returns no changes."""
        self.waits.append(wait_s)
        if self.silent:
            return Failure(PlatformError(PlatformFailure.UNKNOWN, "timed out"))
        return Success(Changes((), after))


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


def test_an_outage_without_answers_is_over_for_a_follower_soon_after_its_end() -> None:
    """Guards against a long watch that begins in such an outage and hangs on after its end."""
    store = SilentTables()
    follower = followers.TableFollower(store, "op", wait_s=2.0)
    follower.next_changes().unwrap()
    store.silent = True
    for _ in range(3):
        follower.next_changes()
    assert store.waits == [2.0, 0.0, 0.0]
    store.silent = False
    follower.next_changes()
    follower.next_changes()
    assert store.waits[3:] == [0.0, 2.0]
