"""Tests of the failover duty with two proxies."""

import signal
import time
from collections.abc import Iterator
from typing import Any
from unittest.mock import Mock, patch

import gevent
import pytest

from bench.processes import free_addresses
from bench.proxy_deployment import GROUP, Deployment, Proxy, eventually
from siskindale.models.address import Address
from siskindale.platform.store import PlatformStore
from siskindale.proxy.duty import Duties, FailoverDuty
from siskindale.proxy.tables import Group
from siskindale.store.versions import version_in_era
from standins.deployment.store import PlatformStandin
from tests.proxy.settings import build_settings


@pytest.fixture
def proxies(deployment: Deployment) -> dict[str, Proxy]:
    """Two proxies; the second one has the first as a seed."""
    first = deployment.start_proxy("vm1")
    second = deployment.start_proxy("vm2", seeds=[deployment.peers_address("vm1")])
    return {"vm1": first, "vm2": second}


def holder(deployment: Deployment) -> str:
    """Returns the VM that holds the duty according to the store, empty if none does."""
    row: Any = deployment.platform.row("duties", "failover")
    return str(row.value["holder"]) if row else ""


def test_a_paused_holder_does_not_promote_again(
    deployment: Deployment, proxies: dict[str, Proxy]
) -> None:
    """Guards against two holders that promote with the same token, and against use of an old token.

    The holder is paused while the other proxy takes the duty, and resumes with its old token.
    """
    paused = eventually(lambda: holder(deployment), "a proxy has taken the duty")
    other = next(proxy for name, proxy in proxies.items() if name != paused)
    client = other.client()
    eventually(lambda: client.query("WRITE item 1").error is None, "the group has a primary")
    proxies[paused].process.signal(signal.SIGSTOP)
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "the other proxy promoted")
    assert holder(deployment) == other.name
    proxies[paused].process.signal(signal.SIGCONT)
    eventually(lambda: proxies[paused].client().query("WRITE item 3").error is None, "it follows")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 4").error is None, "the last target leads")
    calls = deployment.platform.promotions
    holders_of = {call.fencing_token: set[str]() for call in calls}
    for call in calls:
        holders_of[call.fencing_token].add(call.holder)
    assert all(len(holders) == 1 for holders in holders_of.values()), calls
    assert [call.fencing_token for call in calls] == sorted(call.fencing_token for call in calls)


def test_proxies_that_start_together_agree_on_one_holder(
    deployment: Deployment, proxies: dict[str, Proxy]
) -> None:
    """Guards against two proxies that repeatedly take the duty from each other."""
    eventually(lambda: holder(deployment), "a proxy has taken the duty")
    client = proxies["vm1"].client()
    eventually(lambda: client.query("WRITE item 1").error is None, "the group has a primary")
    version = deployment.platform.row("duties", "failover")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a successor leads")
    assert deployment.platform.row("duties", "failover") == version
    assert len({call.holder for call in deployment.platform.promotions}) == 1


def test_a_holder_takes_a_new_token_after_refusals(deployment: Deployment) -> None:
    """Guards against a holder that orders for ever with a token older than one already used.

    A fleet that grows past the size of full ownership has other duties, with newer tokens.
    """
    proxy = deployment.start_proxy("vm1")
    client = proxy.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: holder(deployment), "the proxy has taken the duty")
    for number in range(20):
        deployment.platform.put("other", f"row{number}", {})
    row = deployment.platform.row("duties", "failover")
    assert row is not None
    first_token = version_in_era(deployment.platform.era, row.version)
    deployment.platform.use_fencing_token(GROUP, first_token + 10)
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a successor leads")
    tokens = [call.fencing_token for call in deployment.platform.promotions]
    assert 1 <= tokens.count(first_token) <= 3


@pytest.fixture
def platform() -> Iterator[PlatformStandin]:
    """A platform without targets."""
    platform = PlatformStandin(free_addresses(1)[0], lambda _group, _target: True)
    platform.server.start()
    yield platform
    platform.server.stop()


def duty_of(platform: PlatformStandin, vm: str) -> FailoverDuty:
    """Returns the duty as a VM of its own sees it."""
    return FailoverDuty(build_settings(vm=vm), PlatformStore(Address(*platform.server.address)))


def test_a_former_holder_does_not_hold_the_duty_of_an_older_copy(platform: PlatformStandin) -> None:
    """Guards against two holders: the one before a restoration, and the one whom the copy names."""
    former, holder = duty_of(platform, "vm1"), duty_of(platform, "vm2")
    assert former.take("vacant")
    backup = platform.backup()
    assert holder.refresh()
    assert holder.take("holder is gone")
    token = holder.token
    platform.restore(backup)
    assert former.refresh()
    assert former.holder == "vm1"
    assert former.token is None
    holder.note_restored()
    assert holder.held_before_restoration
    assert holder.take("the store was restored")
    assert not former.take("held by an earlier start")
    assert former.token is None
    assert token is not None
    assert holder.token is not None
    assert holder.token > token


def test_a_take_without_an_answer_is_not_taken_for_an_earlier_one(
    platform: PlatformStandin,
) -> None:
    """Guards against a VM that believes in a lost take because the row names it since before."""
    duty, other = duty_of(platform, "vm1"), duty_of(platform, "vm2")
    assert duty.take("vacant")
    backup = platform.backup()
    assert other.refresh()
    assert other.take("holder is gone")
    assert duty.refresh()
    platform.restore(backup)
    assert not duty.take("holder is gone")
    assert duty.token is None
    assert duty.take("held by an earlier start")
    assert duty.token is not None


def test_a_former_holder_learns_of_the_next_one_from_what_peers_hold(
    platform: PlatformStandin, group: Group
) -> None:
    """Guards against a VM that was cut off and goes on as the holder for good.

    It misses the notices of that time, and reads the duty's row only while it holds no duty.
    """
    owned = Mock(owns_everything=lambda _: True)
    store = PlatformStore(Address(*platform.server.address))
    former, holder = (Duties(build_settings(vm=vm), store, owned) for vm in ("vm1", "vm2"))
    assert former.of(group).take("vacant")
    assert holder.of(group).take("holder is gone")
    assert former.of(group).token is not None
    for held in holder.report():
        former.adopt_holder("vm2", held)
    assert former.of(group).token is None
    assert former.report() == ()


def test_a_delayed_answer_of_the_store_does_not_bring_a_duty_back(
    platform: PlatformStandin,
) -> None:
    """Guards against a VM that believes an answer from before a peer took the duty."""
    former, holder = duty_of(platform, "vm1"), duty_of(platform, "vm2")
    assert former.take("vacant")
    delayed = former._tables.read("duties", "failover")
    assert holder.take("holder is gone")
    assert holder.token is not None
    former.adopt_holder("vm2", holder.token)
    with patch.object(former, "_tables", Mock(read=lambda *_: delayed)):
        assert former.refresh()
    assert former.token is None


def test_a_vm_acts_on_what_peers_told_while_the_store_hangs(platform: PlatformStandin) -> None:
    """Guards against a promotion that waits for a store without an answer."""
    duty = duty_of(platform, "vm1")
    assert duty.take("vacant")
    with patch.object(duty, "_tables", Mock(read=lambda *_: gevent.sleep(30))):
        started_at = time.monotonic()
        assert not duty.confirm()
        assert time.monotonic() - started_at < 1.0
    assert duty.token is not None
