"""Rolling of bundles and the audit rows that it writes."""

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
    """Rolls a bundle with a time limit of 2 s."""
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


def findings(platform: FakePlatform) -> list[str]:
    """Verifies the audit rows."""
    head = rolling.read_head(platform.as_platform()).unwrap()
    rows = platform.scan(audit.AUDIT_TABLE).unwrap()
    return [str(f) for f in audit.verify(rows, head.head.version, head.audit_hash)]


def rolled(count: int) -> FakePlatform:
    """Returns a platform with `count` accepted bundles."""
    platform = FakePlatform()
    for number in range(count):
        assert isinstance(roll(platform, roll_id=f"r{number}"), Accepted)
    return platform


def test_accepted_roll_leaves_head_body_audit_and_roll_id() -> None:
    """Guards against a head whose body or audit row is missing."""
    platform = rolled(2)
    head = rolling.read_head(platform.as_platform()).unwrap().head
    assert head.digest in platform.objects
    assert rolling.read_roll(platform.as_platform(), "r1").unwrap() == head
    row = rolling.read_audit(platform.as_platform(), 2)
    assert row is not None
    assert (row.operator, row.after, row.signers) == ("vesela", head.digest, ("vesela",))
    assert findings(platform) == []


def test_roll_leaves_a_delta_that_gives_the_body() -> None:
    """Guards against a head that names a delta from another body."""
    platform = rolled(1)
    before = rolling.read_head(platform.as_platform()).unwrap().head
    roll(platform, roll_id="r-second")
    head = following.head_of(platform.read(following.HEAD_TABLE, following.HEAD_KEY).unwrap().value)
    body = delta.apply(platform.objects[before.digest], platform.objects[head.delta])
    assert body.unwrap() == platform.objects[head.digest]


def test_loser_of_a_race_is_told_who_won_and_how_to_go_on() -> None:
    """Guards against an operator who believes that an overwritten change is in effect."""
    platform = rolled(1)
    mine = next_bundle(platform, pools_per_group=1)
    other = next_bundle(platform)
    platform.faults.before_commit = lambda: roll(platform, other, "anton", "r-other") and None
    outcome = roll(platform, mine, roll_id="r-mine")
    assert isinstance(outcome, NotAccepted) and outcome.conflict
    assert outcome.reason == "the bundle is version 2, but the head is version 2, rolled by anton"
    assert "siskindale bundle new" in outcome.remedy
    assert head_version(platform) == 2 and findings(platform) == []


def test_bundle_that_replaces_another_digest_is_not_accepted() -> None:
    """Guards against a change based on a bundle that is not in effect."""
    platform = rolled(1)
    outcome = roll(platform, signed(bundle(2, "ab" * 32)), roll_id="x")
    assert isinstance(outcome, NotAccepted) and outcome.conflict


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "delayed_commits"])
def test_one_lost_exchange_is_resolved(fault: str) -> None:
    """Guards against a roll reported as failed although it took effect, and rolled twice."""
    platform = rolled(1)
    setattr(platform.faults, fault, 1)
    assert isinstance(roll(platform, roll_id="x"), Accepted)
    platform.deliver_delayed_commits()
    assert head_version(platform) == 2 and findings(platform) == []


def test_unknown_stays_unknown_until_the_roll_id_tells() -> None:
    """Guards against a claim that a request on its way will never take effect."""
    platform = rolled(1)
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
    platform = rolled(1)
    body = next_bundle(platform)
    outcome = roll(platform, body, roll_id="r0", resumed=True)
    assert isinstance(outcome, NotAccepted) and "another bundle" in outcome.reason


@pytest.mark.parametrize("fault", ["tables_down", "objects_down"])
def test_store_that_is_down_gives_a_certain_refusal(fault: str) -> None:
    """Guards against an unknown outcome where nothing was sent."""
    platform = rolled(1)
    body = next_bundle(platform)
    setattr(platform.faults, fault, True)
    outcome = roll(platform, body, roll_id="x")
    assert outcome == NotAccepted(
        "the store is down", "nothing was changed; roll again when the store is up"
    )
    setattr(platform.faults, fault, False)
    assert head_version(platform) == 1


FAULTS = st.sampled_from(["", "lose_answers", "lose_requests", "delayed_commits", "tables_down"])


@given(st.lists(st.tuples(FAULTS, st.booleans()), max_size=8))
@hypothesis_settings(deadline=None)
def test_outcomes_are_truthful(plan: list[tuple[str, bool]]) -> None:
    """Guards against a false report after any sequence of faults and rolls of two operators."""
    platform = rolled(1)
    for number, (fault, long) in enumerate(plan):
        body = next_bundle(platform, retry_budget=number / 100)
        roll_id = f"x{number}"
        if fault:
            setattr(platform.faults, fault, 99 if long else 1)
        outcome = roll(platform, body, roll_id=roll_id)
        platform.faults = type(platform.faults)()
        platform.deliver_delayed_commits()
        took_effect = rolling.read_roll(platform.as_platform(), roll_id).unwrap() is not None
        assert took_effect or not isinstance(outcome, Accepted)
        assert not took_effect or not isinstance(outcome, NotAccepted)
    assert findings(platform) == []


def damaged(platform: FakePlatform, sequence: int, value: dict[str, object] | None) -> None:
    """Overwrites or removes an audit row."""
    platform.apply_writes([Write(audit.AUDIT_TABLE, audit.key_of(sequence), value)])


def test_changed_row_is_found() -> None:
    """Guards against a rewritten history."""
    platform = rolled(4)
    row = rolling.read_audit(platform.as_platform(), 2)
    assert row is not None
    damaged(platform, 2, audit.to_value(attrs.evolve(row, operator="mallory")))
    assert findings(platform) == [
        "audit/000000000002: the row was changed: its hash does not match"
    ]


def test_row_that_was_changed_and_sealed_again_is_found() -> None:
    """Guards against an attacker who knows how hashes are made."""
    platform = rolled(4)
    row = rolling.read_audit(platform.as_platform(), 2)
    assert row is not None
    forged = audit.sealed(attrs.evolve(row, operator="mallory", hash=""))
    damaged(platform, 2, audit.to_value(forged))
    assert findings(platform) == ["audit/000000000003: the row does not follow the one before it"]


def test_missing_row_is_found() -> None:
    """Guards against a removed row, also the last one."""
    platform = rolled(4)
    damaged(platform, 2, None)
    damaged(platform, 4, None)
    assert findings(platform) == [
        "audit/000000000002: the row is missing",
        "audit/000000000004: the row is missing",
    ]


def test_reordered_rows_are_found() -> None:
    """Guards against rows that are all genuine but in another order."""
    platform = rolled(4)
    second, third = (rolling.read_audit(platform.as_platform(), n) for n in (2, 3))
    assert second is not None and third is not None
    damaged(platform, 2, audit.to_value(third))
    damaged(platform, 3, audit.to_value(second))
    assert "audit/000000000002: the row was moved: it is number 3" in findings(platform)


def test_rows_after_the_head_and_foreign_rows_are_found() -> None:
    """Guards against rows that no roll has written."""
    platform = rolled(1)
    damaged(platform, 2, {"anything": 1})
    damaged(platform, 1, {"anything": 1})
    found = findings(platform)
    assert "the row is not an audit row" in found[0] and "after the head" in found[1]


def test_last_row_replaced_by_a_sealed_one_is_found() -> None:
    """Guards against a change of the last row, which no later row covers."""
    platform = rolled(2)
    row = rolling.read_audit(platform.as_platform(), 2)
    assert row is not None
    damaged(platform, 2, audit.to_value(audit.sealed(attrs.evolve(row, hash="", at=0.0))))
    assert findings(platform) == ["audit/000000000002: the head names another last row"]
