"""Tests of rolling bundles and of the audit rows."""

import attrs
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from siskindale.bundles import audit, delta, following, rolling
from siskindale.bundles.rolling import Accepted, NotAccepted, Outcome, RollRequest, Unknown
from siskindale.models.bundle import SignedBundle
from siskindale.store.interface import Write
from tests.fakes.clock import FakeClock
from tests.fakes.platform import FakePlatform
from tests.fakes.settings import bundle, signed


def next_bundle(platform: FakePlatform, **changes: object) -> SignedBundle:
    """Returns a signed bundle that follows the head."""
    head = rolling.read_head(platform.as_platform()).unwrap().head
    return signed(bundle(head.version + 1, head.digest, **changes))


def roll(
    platform: FakePlatform,
    body: SignedBundle | None = None,
    operator: str = "vesela",
    roll_id: str = "r1",
    resumed: bool = False,
) -> Outcome:
    """Rolls a bundle with a timeout of 2 s."""
    clock = FakeClock()
    request = RollRequest(
        body or next_bundle(platform), ("vesela",), operator, roll_id, 2.0, resumed
    )

    def sleep(seconds: float) -> None:
        clock.now += seconds

    return rolling.Roller(request, platform.as_platform(), clock, sleep).roll()


def head_version(platform: FakePlatform) -> int:
    """Returns the version that programs follow."""
    return rolling.read_head(platform.as_platform()).unwrap().head.version


def audit_findings(platform: FakePlatform) -> list[str]:
    """Returns the findings of the verification of all audit rows."""
    head = rolling.read_head(platform.as_platform()).unwrap()
    rows = platform.scan(audit.AUDIT_TABLE).unwrap()
    return [str(f) for f in audit.verify(rows, head.head.version, head.audit_hash)]


def platform_with_bundles(count: int) -> FakePlatform:
    """Returns a platform with `count` accepted bundles."""
    platform = FakePlatform()
    for number in range(count):
        assert isinstance(roll(platform, roll_id=f"r{number}"), Accepted)
    return platform


def test_accepted_roll_stores_head_body_audit_row_and_roll_id() -> None:
    """Guards against a head whose body or audit row is missing."""
    platform = platform_with_bundles(2)
    head = rolling.read_head(platform.as_platform()).unwrap().head
    assert head.digest in platform.objects
    assert rolling.read_roll(platform.as_platform(), "r1").unwrap() == head
    row = rolling.read_audit_row(platform.as_platform(), 2)
    assert row is not None
    assert (row.operator, row.after, row.signers) == ("vesela", head.digest, ("vesela",))
    assert audit_findings(platform) == []


def test_roll_stores_a_delta_that_gives_the_body() -> None:
    """Guards against a head that names a delta from another body."""
    platform = platform_with_bundles(1)
    before = rolling.read_head(platform.as_platform()).unwrap().head
    roll(platform, roll_id="r-second")
    head = following.head_from_value(
        platform.read(following.HEAD_TABLE, following.HEAD_KEY).unwrap().value
    )
    body = delta.apply(platform.objects[before.digest], platform.objects[head.delta])
    assert body.unwrap() == platform.objects[head.digest]


def test_conflict_names_the_other_operator_and_a_remedy() -> None:
    """Guards against an operator who believes that a rejected change is in effect."""
    platform = platform_with_bundles(1)
    own_bundle = next_bundle(platform, pools_per_group=1)
    other_bundle = next_bundle(platform)
    platform.faults.before_commit = (
        lambda: roll(platform, other_bundle, "anton", "r-other") and None
    )
    outcome = roll(platform, own_bundle, roll_id="r-mine")
    assert isinstance(outcome, NotAccepted) and outcome.conflict
    assert outcome.reason == "the bundle is version 2, but the head is version 2, rolled by anton"
    assert "siskindale bundle new" in outcome.remedy
    assert head_version(platform) == 2 and audit_findings(platform) == []


def test_bundle_that_replaces_another_digest_is_not_accepted() -> None:
    """Guards against a change that is based on a bundle that is not in effect."""
    platform = platform_with_bundles(1)
    outcome = roll(platform, signed(bundle(2, "ab" * 32)), roll_id="x")
    assert isinstance(outcome, NotAccepted) and outcome.conflict


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delayed_commits"])
def test_outcome_is_known_after_one_lost_exchange(fault: str) -> None:
    """Guards against a roll that took effect but is reported as failed, or takes effect twice."""
    platform = platform_with_bundles(1)
    setattr(platform.faults, fault, 1)
    assert isinstance(roll(platform, roll_id="x"), Accepted)
    platform.deliver_delayed_commits()
    assert head_version(platform) == 2 and audit_findings(platform) == []


def test_unknown_outcome_is_resolved_by_the_roll_id() -> None:
    """Guards against reporting failure while a request in transit may still take effect."""
    platform = platform_with_bundles(1)
    platform.faults.delayed_commits = 99
    body = next_bundle(platform)
    outcome = roll(platform, body, roll_id="x")
    assert isinstance(outcome, Unknown) and outcome.roll_id == "x"
    platform.faults.delayed_commits = 0
    platform.deliver_delayed_commits()
    roll(platform, roll_id="later")
    assert isinstance(roll(platform, body, roll_id="x", resumed=True), Accepted)


def test_roll_id_of_another_bundle_is_refused() -> None:
    """Guards against a resumed roll that reports the success of another bundle."""
    platform = platform_with_bundles(1)
    body = next_bundle(platform)
    outcome = roll(platform, body, roll_id="r0", resumed=True)
    assert isinstance(outcome, NotAccepted) and "another bundle" in outcome.reason


@pytest.mark.parametrize("fault", ["tables_down", "objects_down"])
def test_roll_is_not_accepted_while_the_store_is_down(fault: str) -> None:
    """Guards against an unknown outcome although nothing was sent."""
    platform = platform_with_bundles(1)
    body = next_bundle(platform)
    setattr(platform.faults, fault, True)
    outcome = roll(platform, body, roll_id="x")
    assert outcome == NotAccepted(
        "the store is down", "nothing was changed; roll again when the store is up"
    )
    setattr(platform.faults, fault, False)
    assert head_version(platform) == 1


FAULT_NAMES = st.sampled_from(
    ["", "lose_answers", "lose_requests", "delayed_commits", "tables_down"]
)


@given(st.lists(st.tuples(FAULT_NAMES, st.booleans()), max_size=8))
@hypothesis_settings(deadline=None)
def test_reported_outcomes_match_the_effect(faults_of_rolls: list[tuple[str, bool]]) -> None:
    """Guards against a false outcome after any sequence of faults and rolls."""
    platform = platform_with_bundles(1)
    for number, (fault, persistent) in enumerate(faults_of_rolls):
        body = next_bundle(platform, retry_budget=number / 100)
        roll_id = f"x{number}"
        if fault:
            setattr(platform.faults, fault, 99 if persistent else 1)
        outcome = roll(platform, body, roll_id=roll_id)
        platform.faults = type(platform.faults)()
        platform.deliver_delayed_commits()
        took_effect = rolling.read_roll(platform.as_platform(), roll_id).unwrap() is not None
        assert took_effect or not isinstance(outcome, Accepted)
        assert not took_effect or not isinstance(outcome, NotAccepted)
    assert audit_findings(platform) == []


def overwrite_row(platform: FakePlatform, sequence: int, value: dict[str, object] | None) -> None:
    """Overwrites or removes an audit row."""
    platform.apply_writes([Write(audit.AUDIT_TABLE, audit.row_key(sequence), value)])


def test_changed_row_is_found() -> None:
    """Guards against an audit row that was changed."""
    platform = platform_with_bundles(4)
    row = rolling.read_audit_row(platform.as_platform(), 2)
    assert row is not None
    overwrite_row(platform, 2, audit.to_value(attrs.evolve(row, operator="mallory")))
    assert audit_findings(platform) == [
        "audit/000000000002: the row was changed: its hash does not match"
    ]


def test_changed_row_with_a_recomputed_hash_is_found() -> None:
    """Guards against an attacker who changes a row and recomputes its hash."""
    platform = platform_with_bundles(4)
    row = rolling.read_audit_row(platform.as_platform(), 2)
    assert row is not None
    changed_row = audit.with_hash(attrs.evolve(row, operator="mallory", hash=""))
    overwrite_row(platform, 2, audit.to_value(changed_row))
    assert audit_findings(platform) == [
        "audit/000000000003: the row does not contain the hash of the previous row"
    ]


def test_missing_row_is_found() -> None:
    """Guards against a removed row, including the last one."""
    platform = platform_with_bundles(4)
    overwrite_row(platform, 2, None)
    overwrite_row(platform, 4, None)
    assert audit_findings(platform) == [
        "audit/000000000002: the row is missing",
        "audit/000000000004: the row is missing",
    ]


def test_reordered_rows_are_found() -> None:
    """Guards against unchanged rows in a different order."""
    platform = platform_with_bundles(4)
    second, third = (rolling.read_audit_row(platform.as_platform(), n) for n in (2, 3))
    assert second is not None and third is not None
    overwrite_row(platform, 2, audit.to_value(third))
    overwrite_row(platform, 3, audit.to_value(second))
    assert "audit/000000000002: the row was moved: its sequence number is 3" in audit_findings(
        platform
    )


def test_rows_after_the_head_and_foreign_rows_are_found() -> None:
    """Guards against rows that were not written by a roll."""
    platform = platform_with_bundles(1)
    overwrite_row(platform, 2, {"anything": 1})
    overwrite_row(platform, 1, {"anything": 1})
    found = audit_findings(platform)
    assert "the row is not an audit row" in found[0] and "after the head" in found[1]


def test_changed_last_row_with_a_recomputed_hash_is_found() -> None:
    """Guards against a change of the last row, whose hash no later row contains."""
    platform = platform_with_bundles(2)
    row = rolling.read_audit_row(platform.as_platform(), 2)
    assert row is not None
    overwrite_row(platform, 2, audit.to_value(audit.with_hash(attrs.evolve(row, hash="", at=0.0))))
    assert audit_findings(platform) == [
        "audit/000000000002: its hash does not match the hash in the head"
    ]
