"""The table service of the product's own interface, restored from an older copy."""

from returns.result import Failure

from bench.deployment import PlatformStandin
from bench.processes import wait_until
from siskindale.membership.directory import MEMBERS_TABLE, Directory
from siskindale.store.interface import Condition, Platform, PlatformFailure, Write
from tests.fakes.settings import vm_settings

TABLE = "table"
LOST_COMMITS = 10
WAIT_TIMEOUT_S = 10.0


def write_rows(platform: Platform, count: int) -> None:
    """Commits `count` rows one after another."""
    for number in range(count):
        platform.tables.commit([], [Write(TABLE, f"row{number}", {"n": number})]).unwrap()


def test_a_scan_returns_rows_whose_versions_were_given_out_before(
    platform: Platform, platform_standin: PlatformStandin
) -> None:
    """Guards against members and targets that stay unknown after a restoration."""
    platform_standin.back_up()
    write_rows(platform, LOST_COMMITS)
    known = max(row.version for row in platform.tables.scan(TABLE).unwrap())
    platform_standin.restore()
    platform.tables.commit([], [Write(TABLE, "new", {})]).unwrap()
    found = platform.tables.scan(TABLE, known).unwrap()
    assert [row.key for row in found] == ["new"]
    assert found[0].version > known
    assert platform.tables.scan(TABLE, found[0].version).unwrap() == []


def test_a_condition_from_before_a_restoration_does_not_hold(
    platform: Platform, platform_standin: PlatformStandin
) -> None:
    """Guards against a head or a term that is written over another writer's."""
    platform_standin.back_up()
    write_rows(platform, 1)
    known = platform.tables.read(TABLE, "row0").unwrap()
    assert known is not None
    platform_standin.restore()
    write_rows(platform, 1)
    condition = Condition(TABLE, "row0", known.version)
    written = platform.tables.commit([condition], [Write(TABLE, "row0", {"n": 9})])
    assert isinstance(written, Failure)
    assert written.failure().kind is PlatformFailure.CONFLICT


def test_a_member_announces_itself_again_after_a_restoration(
    platform: Platform, platform_standin: PlatformStandin
) -> None:
    """Guards against a VM that no other VM finds because its row was lost."""
    own = vm_settings(0)
    directory = Directory(own, platform)
    platform_standin.back_up()

    def is_listed() -> bool:
        return platform.tables.read(MEMBERS_TABLE, own.vm).unwrap() is not None

    directory.start()
    try:
        wait_until(is_listed, WAIT_TIMEOUT_S, "the VM is listed")
        platform_standin.restore()
        wait_until(is_listed, WAIT_TIMEOUT_S, "the VM is listed again")
    finally:
        directory.stop()
