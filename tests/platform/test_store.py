"""The client of the platform's store, against a store that is restored from an older copy."""

from collections.abc import Iterator

import pytest
from returns.result import Failure, Result

from bench.processes import free_addresses
from siskindale.models.address import Address
from siskindale.platform.store import PlatformStore
from siskindale.store.interface import Condition, PlatformError, PlatformFailure, Write
from standins.deployment.store import PlatformStandin

TABLE = "table"


@pytest.fixture
def platform() -> Iterator[PlatformStandin]:
    """Stand-in of the platform with a row `a` at commit 1."""
    platform = PlatformStandin(free_addresses(1)[0], lambda _group, _target: True)
    platform.server.start()
    platform.put(TABLE, "a", {"n": 1})
    yield platform
    platform.server.stop()


@pytest.fixture
def store(platform: PlatformStandin) -> PlatformStore:
    """Client of the stand-in."""
    return PlatformStore(Address(*platform.server.address))


def failure_of(result: Result[object, PlatformError]) -> PlatformFailure | None:
    """Returns the kind of a failure, None after a success."""
    return result.failure().kind if isinstance(result, Failure) else None


def test_versions_do_not_go_back_with_the_store(
    platform: PlatformStandin, store: PlatformStore
) -> None:
    """Guards against a row that counts as older because the store was restored before its commit.

    Fencing tokens are versions of rows, too.
    """
    backup = platform.backup()
    for number in range(5):
        platform.put(TABLE, "a", {"n": number})
    before = store.snapshot(TABLE).unwrap()
    platform.restore(backup)
    platform.put(TABLE, "b", {})
    after = store.snapshot(TABLE).unwrap()
    assert after.version > before.version
    assert min(row.version for row in after.rows) > max(row.version for row in before.rows)
    committed = store.commit([], [Write(TABLE, "c", {})]).unwrap()
    row = store.read(TABLE, "c").unwrap()
    assert row is not None
    assert row.version == committed > after.version


def test_a_watch_from_an_earlier_era_has_lost_its_history(
    platform: PlatformStandin, store: PlatformStore
) -> None:
    """Guards against changes that are missed because their versions were given out before."""
    backup = platform.backup()
    for number in range(3):
        platform.put(TABLE, "a", {"n": number})
    known = store.snapshot(TABLE).unwrap().version
    platform.restore(backup)
    for number in range(5):
        platform.put(TABLE, "b", {"n": number})
    for _ in range(2):
        assert failure_of(store.watch(TABLE, known, 0)) is PlatformFailure.HISTORY_LOST
    assert store.snapshot(TABLE).unwrap().rows[-1].value == {"n": 4}


def test_a_condition_from_an_earlier_era_does_not_hold(
    platform: PlatformStandin, store: PlatformStore
) -> None:
    """Guards against a write over a row that has another writer's value at the same commit."""
    backup = platform.backup()
    known = platform.put(TABLE, "a", {"writer": 1})
    row = store.read(TABLE, "a").unwrap()
    assert row is not None
    platform.restore(backup)
    assert platform.put(TABLE, "a", {"writer": 2}) == known
    store.snapshot(TABLE).unwrap()
    written = store.commit([Condition(TABLE, "a", row.version)], [Write(TABLE, "a", {})])
    assert failure_of(written) is PlatformFailure.CONFLICT
    current = platform.row(TABLE, "a")
    assert current is not None
    assert current.value == {"writer": 2}


def test_a_late_response_of_an_earlier_era_is_not_used(
    platform: PlatformStandin, store: PlatformStore
) -> None:
    """Guards against rows that the store has lost, in a response that was held up on its way."""
    platform.era = 2
    store.snapshot(TABLE).unwrap()
    platform.era = 1
    assert failure_of(store.snapshot(TABLE)) is PlatformFailure.UNKNOWN


def test_a_restoration_is_reported_once(platform: PlatformStandin, store: PlatformStore) -> None:
    """Guards against rows of siskindale that nobody writes again, and against repeated writes."""
    restored: list[int] = []
    store.on_restored(restored.append)
    store.snapshot(TABLE).unwrap()
    platform.restore(platform.backup())
    platform.faults.down = True
    assert failure_of(store.snapshot(TABLE)) is PlatformFailure.UNAVAILABLE
    platform.faults.down = False
    store.snapshot(TABLE).unwrap()
    assert restored == [2]
