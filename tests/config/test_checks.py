"""Tests of the cross-field checks of settings, bundles and changes."""

import io
from pathlib import Path

import attrs
import pytest

from siskindale.config.checks import check_bundle, check_settings, check_settings_file
from siskindale.config.checks import load_checked_bundle as load_bundle
from siskindale.config.checks import load_checked_settings as load_settings
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.bundle import Bundle, Durations, Group, ReadRule, TargetState
from siskindale.models.settings import Settings, Trust
from tests.fakes.settings import bundle, loopback_address, vm_settings

EXAMPLES_DIR = Path(__file__).parents[2] / "docs" / "examples"


def changed_target(**changes: object) -> tuple[Group, ...]:
    """Returns the groups with changes to the second target."""
    group = bundle().groups[0]
    first, second, third = group.targets
    return (attrs.evolve(group, targets=(first, attrs.evolve(second, **changes), third)),)


def with_targets(*indexes: int) -> tuple[Group, ...]:
    """Returns the groups with only the targets at these indexes."""
    group = bundle().groups[0]
    return (attrs.evolve(group, targets=tuple(group.targets[i] for i in indexes)),)


def change_first(field: str, **changes: object) -> dict[str, object]:
    """Returns a change of the first item of a list in the bundle."""
    first, *rest = getattr(bundle(), field)
    return {field: (attrs.evolve(first, **changes), *rest)}


@pytest.mark.parametrize("deployment", ["rodopi", "alpenrand"])
def test_examples_pass(deployment: str) -> None:
    """Guards against examples that operators cannot start from."""
    assert load_settings(EXAMPLES_DIR / deployment / "settings.json").unwrap().vm
    assert len(load_bundle(EXAMPLES_DIR / deployment / "bundle.json").unwrap().groups) == 3


@pytest.mark.parametrize(
    ("changes", "finding"),
    [
        ({"version": 0}, "$.version: is 0; expected 1 or more"),
        ({"previous": "ab" * 32}, "$.previous: is set, but version 1 has no previous"),
        ({"version": 2}, "$.previous: has 0 bytes; expected 32 bytes"),
        ({"groups": changed_target(name="survey-0")}, "[1].name: target 'survey-0' is already"),
        ({"groups": bundle().groups * 2}, "$.groups[1].name: group 'survey' is already used"),
        ({"classes": bundle().classes[:1] * 2}, "$.classes[1].name: class 'filings' is already"),
        ({"callers": bundle().callers * 2}, "$.callers[1].name: caller 'club' is already used"),
        ({"groups": changed_target(name="a b")}, "[1].name: 'a b' is not a valid name"),
        ({"groups": changed_target(failure_domain="")}, "failure_domain: '' is not a valid name"),
        (
            {"groups": changed_target(data=loopback_address(21_000))},
            "[1].data: address '127.0.0.1:21000'",
        ),
        (
            {"groups": changed_target(data=loopback_address(0))},
            "[1].data.port: is 0; expected 1 to 65535",
        ),
        (
            {"groups": changed_target(control=attrs.evolve(loopback_address(1), host="db"))},
            "[1].control.host: 'db' is not an IP address",
        ),
        ({"groups": changed_target(slots=1)}, "[1].slots: is 1; expected 2 or more"),
        ({"groups": changed_target(slots=17)}, "slots: is 17; expected at most connections"),
        ({"groups": changed_target(connect_ms=-1)}, "connect_ms: is -1; expected 0 or more"),
        ({"groups": with_targets(0)}, "group 'survey' has 1 targets that are not leaving"),
        ({"pools_per_group": 0}, "$.pools_per_group: is 0; expected 1 or more"),
        ({"classes": ()}, "$.classes: is empty; add a class"),
        (
            change_first("classes", min_share=0.0),
            "$.classes[0].min_share: is 0.0; expected more than",
        ),
        (
            change_first("classes", min_share=0.96),
            "minimum shares add up to 1.01; expected at most 1",
        ),
        (change_first("classes", max_age_ms=-1), "$.classes[0].max_age_ms: is -1"),
        (change_first("classes", queue_limit=0), "$.classes[0].queue_limit: is 0"),
        (change_first("callers", databases=("surwey",)), "'surwey'; did you mean 'survey'?"),
        (
            change_first("callers", classes=("xyz",)),
            "unknown class 'xyz'; known: filings, browsing",
        ),
        (change_first("callers", max_in_flight=0), "$.callers[0].max_in_flight: is 0"),
        (change_first("callers", token_sha256="zz"), "token_sha256: is not hexadecimal"),
        (
            change_first("callers", token_sha256="ab"),
            "token_sha256: has 1 bytes; expected 32 bytes",
        ),
        ({"read_rules": (ReadRule("x", "filings", 1),)}, "$.read_rules[0].caller: unknown caller"),
        ({"read_rules": (ReadRule("club", "x", 1),)}, "statement_class: unknown class 'x'"),
        ({"read_rules": (ReadRule("club", "filings", 1),) * 2}, "$.read_rules[1]: rule"),
        ({"retry_budget": 1.5}, "$.retry_budget: is 1.5; expected 0 to 1"),
        ({"durations": Durations(probe_interval_ms=-5)}, "probe_interval_ms: is -5; expected 1"),
        ({"durations": Durations(probe_timeout_ms=750)}, "expected less than loss_after_ms"),
        ({"durations": Durations(head_poll_ms=5000)}, "less than head_confirmation_limit_ms"),
        ({"durations": Durations(head_confirmation_limit_ms=9000)}, "expected at most the promis"),
    ],
)
def test_bundle_that_cannot_work_is_refused(changes: dict[str, object], finding: str) -> None:
    """Guards against signing a bundle that fails only once it is in effect."""
    found = [str(f) for f in check_bundle(bundle(**changes), "b")]  # type: ignore[arg-type]
    assert any(finding in text for text in found) if finding else not found, found


@pytest.mark.parametrize(
    ("before", "after", "finding"),
    [
        (bundle(1), bundle(3, "ab" * 32), "$.version: is 3; expected 2"),
        (
            bundle(1, groups=with_targets(0, 1)),
            bundle(2, "ab" * 32, groups=with_targets(1, 2)),
            "loses its last",
        ),
        (
            bundle(1, groups=with_targets(0, 1)),
            bundle(2, "ab" * 32, groups=with_targets(0, 2)),
            "changes 2 voters",
        ),
        (
            bundle(1),
            bundle(2, "ab" * 32, groups=changed_target(data=loopback_address(30_000))),
            "the address of target 'survey-1' changes",
        ),
        (bundle(1), bundle(2, "ab" * 32, groups=with_targets(0, 1)), ""),
        (bundle(1, groups=with_targets(0, 1)), bundle(2, "ab" * 32), ""),
        (
            bundle(1),
            bundle(2, "ab" * 32, groups=changed_target(state=TargetState.LEAVING)),
            "",
        ),
    ],
)
def test_change_that_cannot_work_is_refused(before: Bundle, after: Bundle, finding: str) -> None:
    """Guards against voter sets whose majorities do not overlap, and against loss of data."""
    found = [str(f) for f in check_bundle(after, "b", before)]
    assert any(finding in text for text in found) if finding else not found, found


def change_section(section: str, **changes: object) -> Settings:
    """Returns settings with changes in one section."""
    settings = vm_settings()
    return attrs.evolve(settings, **{section: attrs.evolve(getattr(settings, section), **changes)})


SIGNERS = vm_settings().trust.signers


@pytest.mark.parametrize(
    ("settings", "finding"),
    [
        (vm_settings(), ""),
        (attrs.evolve(vm_settings(), vm="a/b"), "$.vm: 'a/b' is not a valid name"),
        (attrs.evolve(vm_settings(), session_keys=()), "$.session_keys: is empty"),
        (
            attrs.evolve(
                vm_settings(),
                session_keys=(attrs.evolve(vm_settings().session_keys[0], secret="ab" * 31),),
            ),
            "$.session_keys[0].secret: has 31 bytes; expected 32 bytes or more",
        ),
        (
            change_section("trust", required_signatures=3),
            "is 3; expected at most the number of signers",
        ),
        (
            change_section("trust", required_signatures=0),
            "required_signatures: is 0; expected 1 or more",
        ),
        (
            attrs.evolve(
                vm_settings(),
                trust=Trust((SIGNERS[0], attrs.evolve(SIGNERS[0], name="second")), 2),
            ),
            "$.trust.signers[1].public_key: public key",
        ),
        (change_section("pool", inbox=vm_settings().pool.health), "$.pool.health: address"),
        (change_section("pool", inbox=vm_settings().platform.tables), "used at $.platform.tables"),
        (
            change_section("platform", tables=attrs.evolve(loopback_address(1), host="10.0.0.1")),
            "$.entry.inbox.host: is a loopback address, the platform's is not",
        ),
        (
            change_section("entry", default_deadline_ms=90_000),
            "expected at most $.entry.max_deadline_ms",
        ),
        (change_section("platform", timeout_ms=0), "$.platform.timeout_ms: is 0"),
        (attrs.evolve(vm_settings(), log_level="inof"), "'inof'; did you mean 'info'?"),
    ],
)
def test_settings_that_cannot_work_are_refused(settings: Settings, finding: str) -> None:
    """Guards against a program that starts with invalid settings and fails later."""
    found = [str(f) for f in check_settings(settings, "s")]
    assert any(finding in text for text in found) if finding else not found, found


def test_check_settings_command(tmp_path: Path) -> None:
    """Guards against a wrong exit status, and against errors printed on standard output."""
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO(), program="siskindale-pool")
    valid_file = EXAMPLES_DIR / "rodopi" / "settings.json"
    assert check_settings_file(valid_file, environment) is ExitStatus.SUCCESS
    assert environment.stdout.getvalue() == f"{valid_file}: ok\n"  # type: ignore[attr-defined]
    invalid_file = tmp_path / "settings.json"
    invalid_file.write_text('{"vm": }')
    assert check_settings_file(invalid_file, environment) is ExitStatus.INVALID_INPUT
    expected_error = f'siskindale-pool: error: {invalid_file}:1:8: unexpected "}}"\n'
    assert environment.stderr.getvalue() == expected_error  # type: ignore[attr-defined]
