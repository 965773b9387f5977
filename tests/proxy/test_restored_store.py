"""A store that comes back from an older copy, so that versions are given out a second time."""

import signal
from typing import Any

import gevent
import pytest

from bench.proxy_deployment import Deployment, Proxy, eventually
from siskindale.proxy.directory import DIRECTORY_TABLE
from siskindale.proxy.duty import DUTY_KEY, DUTY_TABLE
from siskindale.proxy.followers import MISSING_TIMEOUT_S
from standins.deployment.store import PlatformStandin

# More commits than a deployment makes after a restoration within a test.
LOST_COMMITS = 60


@pytest.fixture
def platform(deployment: Deployment) -> PlatformStandin:
    """The platform of the deployment."""
    return deployment.platform


def commit_other_rows(platform: PlatformStandin, count: int = LOST_COMMITS) -> None:
    """Raises the version of the store by `count`."""
    for number in range(count):
        platform.put("other", f"row{number}", {})


def knows(proxy: Proxy, database: str) -> bool:
    """Returns whether a proxy serves a database."""
    return proxy.client(database).greeting == b"READY I -\r\n"


def row_value(platform: PlatformStandin, table: str, key: str) -> dict[str, Any]:
    """Returns the value of a row, an empty object if there is none."""
    row = platform.row(table, key)
    return row.value if row else {}


def test_a_configuration_of_a_restored_store_is_applied_although_its_version_was_known(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against a watch that goes on from a version which was given out a second time.

    The store then reports neither changes nor a lost history. Seen as CONFIG on the day
    deploy/days/restored-unheard.toml.
    """
    proxy = deployment.start_proxy()
    eventually(lambda: row_value(platform, DUTY_TABLE, DUTY_KEY), "the start is over")
    backup = platform.backup()
    for version in (2, 3):
        deployment.configure(version, **{f"added{version}": {"kind": "primary"}})
    eventually(lambda: knows(proxy, "added3"), "the proxy follows the store")
    platform.faults.down = True
    eventually(lambda: "store-unavailable" in proxy.log, "the outage is noticed")
    platform.restore(backup)
    for version in (3, 4):
        deployment.configure(version, **{f"added{version}": {"kind": "primary"}})
    platform.faults.down = False
    eventually(lambda: knows(proxy, "added4"), "the new configuration is in effect")


def test_an_older_configuration_of_a_restored_store_is_not_applied(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against a configuration that is reverted until the operator has written it again."""
    backup = platform.backup()
    deployment.configure(2, added={"kind": "primary"})
    proxy = deployment.start_proxy()
    platform.faults.down = True
    eventually(lambda: "store-unavailable" in proxy.log, "the outage is noticed")
    platform.restore(backup)
    platform.faults.down = False
    eventually(lambda: "store-restored" in proxy.log, "the restoration is noticed")
    gevent.sleep(1.0)
    assert knows(proxy, "added")


def test_a_draining_target_is_noticed_although_versions_went_back(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against registrations that are ignored until the store has reached the old version.

    Seen as DRAIN on the day deploy/days/restored-storm.toml.
    """
    backup = platform.backup()
    commit_other_rows(platform)
    proxy = deployment.start_proxy()
    leaving = deployment.group.primary
    platform.restore(backup)
    deployment.register(leaving, state="draining")
    eventually(lambda: deployment.group.primary is not leaving, "another target is the primary")
    assert proxy.client().query("WRITE item 1").error is None


def test_a_target_that_registers_again_after_a_restoration_stays_in_use(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against targets that count as gone because the older copy lacks them."""
    platform.put("servers", "t1", None)
    platform.put("servers", "t2", None)
    backup = platform.backup()
    deployment.register_all()
    commit_other_rows(platform)
    proxy = deployment.start_proxy()
    platform.restore(backup)
    eventually(lambda: "registration-missing" in proxy.log, "the older copy is read")
    gevent.sleep(MISSING_TIMEOUT_S / 2)
    deployment.register_all()
    gevent.sleep(2 * MISSING_TIMEOUT_S)
    assert "target-removed" not in proxy.log


def test_a_fencing_token_does_not_go_back_with_the_store(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against a holder whose promotions are refused, and against a token used twice.

    The token of an earlier holder came from a version that the older copy does not have.
    """
    backup = platform.backup()
    commit_other_rows(platform)
    first = deployment.start_proxy("vm1")
    client = first.client()
    assert client.query("WRITE item 1").error is None
    eventually(lambda: row_value(platform, DUTY_TABLE, DUTY_KEY), "the duty is held")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 2").error is None, "a successor leads")
    platform.restore(backup)
    deployment.register_all()
    first.process.signal(signal.SIGKILL)
    client = deployment.start_proxy("vm2").client()
    eventually(lambda: client.query("WRITE item 3").error is None, "the second VM serves")
    deployment.group.primary.crash()
    eventually(lambda: client.query("WRITE item 4").error is None, "the last target leads")
    calls = [(call.fencing_token, call.holder) for call in platform.promotions]
    assert calls == sorted(calls)
    assert len(dict(calls)) == len(set(calls))


def test_the_holder_of_a_duty_takes_it_again_after_a_restoration(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against a duty whose holder the store does not know."""
    backup = platform.backup()
    proxy = deployment.start_proxy("vm1")
    assert proxy.client().query("WRITE item 1").error is None
    eventually(lambda: row_value(platform, DUTY_TABLE, DUTY_KEY), "the duty is held")
    platform.restore(backup)
    deployment.register_all()
    eventually(lambda: row_value(platform, DUTY_TABLE, DUTY_KEY), "the duty is taken again")
    assert row_value(platform, DUTY_TABLE, DUTY_KEY)["holder"] == "vm1"


def test_a_vm_lists_itself_again_after_a_restoration(
    deployment: Deployment, platform: PlatformStandin
) -> None:
    """Guards against VMs that are missing in the directory when the whole fleet starts again."""
    backup = platform.backup()
    deployment.start_proxy("vm1")
    eventually(lambda: platform.row(DIRECTORY_TABLE, "vm1"), "the VM is listed")
    platform.restore(backup)
    eventually(lambda: platform.row(DIRECTORY_TABLE, "vm1"), "the VM is listed again")
