"""Output and exit statuses of the commands."""

import json
from pathlib import Path

import attrs
import pytest

from siskindale.bundles import audit
from siskindale.cli import drafts
from siskindale.models.address import Address
from siskindale.runtime.health import create_health_server
from siskindale.store.interface import Write
from tests.cli.conftest import Operator


def test_bundle_workflow_from_draft_to_head(operator: Operator) -> None:
    """Guards against a failure in any step of an operator's usual workflow."""
    assert operator.roll(operator.write_signed("first")) == 0
    assert "first: accepted as version 1, digest " in operator.stdout
    second = operator.write_signed("second", retry_budget=0.2)
    assert operator.run_with_settings("bundle", "check", second) == 0
    assert operator.stdout == f"{second}: ok: version 2, follows version 1\n"
    assert operator.run_with_settings("bundle", "diff", second, "--json") == 0
    changes = {row["path"]: row["after"] for row in json.loads(operator.stdout)}
    assert changes.pop("$.retry_budget") == 0.2
    assert set(changes) == {"$.version", "$.previous"}
    assert operator.roll(second, "anton", "--json") == 0
    assert json.loads(operator.stdout)[0]["version"] == 2
    assert operator.run_with_settings("bundle", "history", "--json") == 0
    rows = json.loads(operator.stdout)
    assert [(row["version"], row["operator"]) for row in rows] == [(2, "anton"), (1, "vesela")]
    assert operator.run_with_settings("bundle", "show", "--at", "1", "--full") == 0
    assert json.loads(operator.stdout)["bundle"]["version"] == 1
    assert operator.run_with_settings("bundle", "show") == 0
    assert "vesela, anton" in operator.stdout
    assert operator.run_with_settings("audit", "--verify") == 0


def test_diff_names_entries_and_fields(operator: Operator) -> None:
    """Guards against a diff that prints whole lists or omits removed entries."""
    before = operator.write_draft("before")
    group = drafts.first_draft().groups[0]
    first, *rest = group.targets
    targets = (attrs.evolve(first, slots=4), rest[0])
    after = operator.write_draft("after", groups=(attrs.evolve(group, targets=targets),))
    assert operator.run("bundle", "diff", after, before, "--json") == 0
    changes = {row["path"]: row["after"] for row in json.loads(operator.stdout)}
    path = "$.groups[example].targets"
    assert changes[f"{path}[example-1].slots"] == 4
    assert changes[f"{path} order"] == ["example-1", "example-2"]
    assert changes[f"{path}[example-3].name"] is None
    assert operator.run("bundle", "diff", before, before) == 0
    assert operator.stdout == "no difference\n"


def test_invalid_bundle_is_not_signed(operator: Operator) -> None:
    """Guards against signing a bundle that would fail once it is in effect."""
    draft, out = operator.write_draft("draft", retry_budget=3.0, pools_per_group=0), operator.path(
        "out"
    )
    sign = ("bundle", "sign", draft, "--key", operator.path("vesela"), "--out", out)
    assert operator.run_with_settings(*sign) == 2
    assert operator.stderr == (
        f"siskindale: error: {draft}: $.pools_per_group: is 0; expected 1 or more\n"
        f"siskindale: error: {draft}: $.retry_budget: is 3.0; expected 0 to 1\n"
    )
    assert not Path(out).exists()


def test_invalid_change_is_not_signed(operator: Operator) -> None:
    """Guards against signing a change without checking it against the bundle in effect."""
    operator.roll(operator.write_signed("first"))
    draft = operator.write_draft("draft", version=3)
    sign = ("bundle", "sign", draft, "--key", operator.path("vesela"), "--out", "x")
    assert operator.run(*sign) == 2
    assert "pass --settings or --previous" in operator.stderr
    assert operator.run_with_settings(*sign) == 2
    assert "$.version: is 3; expected 2, the one after the bundle in effect" in operator.stderr


def test_too_few_signatures_are_refused(operator: Operator) -> None:
    """Guards against a roll that no program would adopt."""
    draft, out = operator.write_draft("draft"), operator.path("out")
    assert (
        operator.run_with_settings(
            "bundle", "sign", draft, "--key", operator.path("vesela"), "--out", out
        )
        == 0
    )
    assert operator.roll(out) == 3
    assert "1 of 2 required signatures are valid; trusted signers: vesela, anton" in operator.stderr


def test_conflicting_roll_names_the_other_operator(operator: Operator) -> None:
    """Guards against a silent overwrite when two operators roll at once."""
    operator.roll(operator.write_signed("first"))
    mine, other = operator.write_signed("mine", retry_budget=0.3), operator.write_signed("other")
    assert operator.roll(other, "anton") == 0
    assert operator.roll(mine) == 3
    assert operator.stderr == (
        f"siskindale: error: {mine}: not accepted: the bundle is version 2, but the head is"
        " version 2, rolled by anton; print the next version with `siskindale bundle new`,"
        " repeat the change, sign, roll\n"
    )


def test_unavailable_store_is_reported_as_not_accepted(operator: Operator) -> None:
    """Guards against reporting an unknown outcome although nothing was sent."""
    signed = operator.write_signed("first")
    operator.platform.faults.objects_down = True
    assert operator.roll(signed) == 1
    assert "not accepted: the store is down; nothing was changed" in operator.stderr


def test_unknown_outcome_is_resolved_by_the_roll_id(operator: Operator) -> None:
    """Guards against a second roll of a bundle whose first roll took effect late."""
    signed = operator.write_signed("first")
    operator.platform.faults.delayed_commits = 99
    assert operator.roll(signed) == 4
    roll_id = operator.stderr.split()[-1]
    assert operator.run_with_settings("bundle", "show", "--roll", roll_id) == 4
    operator.platform.faults.delayed_commits = 0
    operator.platform.deliver_delayed_commits()
    assert operator.run_with_settings("bundle", "show", "--roll", roll_id) == 0
    assert operator.roll(signed, "vesela", "--roll-id", roll_id) == 0


def test_roll_waits_for_a_slow_store(operator: Operator) -> None:
    """Guards against reporting a failure if the store is only slow."""
    signed = operator.write_signed("first")
    operator.platform.faults.delay_s = 0.05
    assert operator.roll(signed) == 0


def test_damaged_audit_log_is_an_error(operator: Operator) -> None:
    """Guards against a verification that finds a problem and still succeeds."""
    operator.roll(operator.write_signed("first"))
    operator.platform.apply_writes([Write(audit.AUDIT_TABLE, audit.row_key(1), None)])
    assert operator.run_with_settings("audit", "--verify") == 1
    assert operator.stderr == "siskindale: error: audit/000000000001: the row is missing\n"
    operator.platform.apply_writes([Write(audit.AUDIT_TABLE, audit.row_key(1), {"hash": 1})])
    assert operator.run_with_settings("audit", "--verify") == 1
    assert "the row is not an audit row" in operator.stderr
    for command in (("audit",), ("bundle", "history"), ("bundle", "show")):
        assert operator.run_with_settings(*command) == 0, operator.stderr


def test_key_file_is_private_and_never_overwritten(operator: Operator) -> None:
    """Guards against a key that others can read, and against the loss of a key."""
    path = operator.directory / "key"
    assert operator.run("key", "new", "marta", "--out", str(path)) == 0
    assert json.loads(operator.stdout)["name"] == "marta"
    assert path.stat().st_mode & 0o777 == 0o600
    content = path.read_bytes()
    assert operator.run("key", "new", "marta", "--out", str(path)) == 3
    assert path.read_bytes() == content


def test_status_queries_the_programs(operator: Operator) -> None:
    """Guards against a status that succeeds although a program is not ready or unreachable."""
    report = {"vm": "vm0", "program": "entry", "bundle_version": 7, "degraded": False}
    reasons: list[str] = []
    server = create_health_server(
        Address("127.0.0.1", 0), lambda: reasons, reports={"/v1/operators/status": lambda: report}
    )
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    assert operator.run("status", "--address", address) == 0
    assert operator.stdout.splitlines()[1].split() == ["vm0/entry", address, "yes", "7", "no", "-"]
    reasons.append("the program is draining")
    assert operator.run("status", "--address", address, "--json") == 1
    row = json.loads(operator.stdout)[0]
    assert (row["ready"], row["reasons"], row["status"]) == (False, reasons, report)
    server.stop()
    assert operator.run("status", "--address", address) == 1


@pytest.mark.parametrize(
    ("args", "message"),
    [
        ((), "Missing command"),
        (("stats",), "did you mean 'status'?"),
        (("bundle", "check", "none.json"), "none.json: No such file or directory"),
        (("bundle", "diff", "none.json"), "none.json: No such file"),
        (("bundle", "new", "--settings", "none.json"), "none.json: No such file"),
        (("bundle", "sign", "a", "--key", "none", "--out", "x"), "none: No such file"),
        (("status",), "pass --settings or --address"),
        (("status", "--address", "localhost:1"), "'localhost:1' is not IP:PORT"),
        (("check-settings", "/"), "/: Is a directory"),
    ],
)
def test_user_error_prints_one_line_and_exits_with_2(
    operator: Operator, args: tuple[str, ...], message: str
) -> None:
    """Guards against a traceback for a user error."""
    assert operator.run(*args) == 2
    assert operator.stderr.startswith("siskindale: error: ")
    assert message.lower() in operator.stderr.lower()


def test_unknown_driver_and_invalid_key_are_user_errors(operator: Operator) -> None:
    """Guards against a traceback for an invalid name or value in a file."""
    settings = operator.directory / "settings.json"
    settings.write_text(settings.read_text().replace('"fake"', '"grpc"'))
    assert operator.run_with_settings("audit") == 2
    assert "$.platform.driver: unknown driver 'grpc'; known: " in operator.stderr
    key = operator.directory / "vesela"
    key.write_text('{"signer": "vesela", "private_key": "zz", "public_key": ""}')
    assert operator.run("bundle", "sign", "x", "--key", str(key), "--out", "y") == 2
    assert "$.private_key: is not an Ed25519 key" in operator.stderr


@pytest.mark.parametrize("command", ["new", "check", "diff", "sign", "roll", "show", "history"])
def test_help_has_an_example(operator: Operator, command: str) -> None:
    """Guards against help text that lists options without an example."""
    assert operator.run("bundle", command, "--help") == 0
    assert f"Example: siskindale bundle {command} " in operator.stdout
