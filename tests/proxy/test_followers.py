"""Tests of following the store's tables through outages."""

from unittest.mock import Mock

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Result, Success

from bench.processes import wait_until
from bench.proxy_deployment import WAIT_TIMEOUT_S, Deployment, eventually
from siskindale.platform.store import CONNECT_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S
from siskindale.proxy import followers
from siskindale.store.interface import Changes, PlatformError, PlatformFailure
from tests.fakes.platform import FakePlatform
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


def test_registrations_are_read_as_soon_as_their_need_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sessions that wait at a start for the next check of the ownership.

    After a loss of all VMs, the statements of returning sessions waited 0.1 s longer than needed.
    """
    monkeypatch.setattr(followers, "NEED_CHECK_INTERVAL_S", WAIT_TIMEOUT_S)
    known = Event()
    state = Mock()
    running = gevent.spawn(targets_follower(state, known).run)
    gevent.sleep(0.01)
    state.replace_targets.assert_not_called()
    known.set()
    wait_until(lambda: state.replace_targets.called, WAIT_TIMEOUT_S / 2, "they are read")
    running.kill()


def test_registrations_are_read_soon_when_a_target_was_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a group that waits for the regular read although its target has a new id.

    A primary that had crashed came back under another id, and its group was not served for 4 s
    more. Seen on the day deploy/days/restored-targets.toml.
    """
    monkeypatch.setattr(followers, "TARGETS_INTERVAL_S", 2 * WAIT_TIMEOUT_S)
    known = Event()
    known.set()
    state = Mock()
    follower = targets_follower(state, known)
    running = gevent.spawn(follower.run)
    wait_until(lambda: state.replace_targets.called, WAIT_TIMEOUT_S, "the first read")
    for _ in range(5):
        follower.read_soon()
    wait_until(lambda: state.adopt_targets.called, WAIT_TIMEOUT_S, "another read")
    gevent.sleep(2 * followers.RETRY_S)
    assert state.adopt_targets.call_count == 1
    running.kill()


def targets_follower(state: Mock, known: Event) -> followers.TargetsFollower:
    """Returns a follower of registrations that are needed once `known` is set."""
    return followers.TargetsFollower(
        SilentTables(),
        state,
        ask_peers=Mock(),
        notify_peers=Mock(),
        wait_until_known=known.wait,
        needed=known.is_set,
    )
