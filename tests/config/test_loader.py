"""Tests of the findings of the loader."""

from pathlib import Path

import pytest

from siskindale.config.loader import load_bundle, load_settings, parse_json, structure
from siskindale.models.bundle import Bundle, Durations, TargetState


def findings(text: str, cls: type = Bundle) -> list[str]:
    """Returns the findings for a text as they are printed."""
    return [
        str(f) for f in parse_json(text, "f").bind(lambda raw: structure(raw, cls, "f")).failure()
    ]


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        ('{"a": 1,\n "b": tru}', 'f:2:10: unexpected "}"'),
        ('{"a": 1,,}', 'f:1:10: unexpected "}"'),
        ('{\n// comment\n"a": 1', "f:3:7: unexpected end of input"),
        ("{a: 1, a: 2}", 'f: duplicate key "a" found in object'),
        ('{"a": 1, "a": 2}', 'f: duplicate key "a" found in object'),
        ("[" * 100_000, "f: nested too deeply"),
    ],
)
def test_syntax_errors_name_line_and_column(text: str, finding: str) -> None:
    """Guards against a syntax error that is reported without its place, or that is accepted."""
    assert [str(f) for f in parse_json(text, "f").failure()] == [finding]


def test_all_findings_are_reported_at_once() -> None:
    """Guards against reporting only the first error, and against silent conversion of values."""
    text = """{version: "1", classes: {}, callers: [{}], retry_budget: Infinity,
      groups: [{name: "a", targts: [], targets: [{name: 1, state: "actve", slots: 2.0,
      data: {host: "127.0.0.1", port: true}, failure_domain: "a"}]}]}"""
    assert findings(text) == [
        "f: $.version: is a string; expected a whole number",
        "f: $.groups[0].targets[0].name: is a whole number; expected a string",
        "f: $.groups[0].targets[0].data.port: is true or false; expected a whole number",
        "f: $.groups[0].targets[0].control: the field is missing;" " add an object with host, port",
        "f: $.groups[0].targets[0].state: unknown value 'actve'; did you mean 'active'?",
        "f: $.groups[0].targets[0].slots: is a number; expected a whole number",
        "f: $.groups[0].targts: unknown field; did you mean 'targets'?",
        "f: $.classes: is an object; expected a list",
        "f: $.callers[0].name: the field is missing; add a string",
        "f: $.callers[0].token_sha256: the field is missing; add a string",
        "f: $.callers[0].databases: the field is missing; add a list",
        "f: $.callers[0].classes: the field is missing; add a list",
        "f: $.retry_budget: is not finite; expected a finite number",
    ]


def test_unknown_field_without_a_close_name_lists_all() -> None:
    """Guards against a finding that does not say which fields are known."""
    assert "known: probe_interval_ms" in findings('{"zzz": 1}', Durations)[0]


def test_string_in_place_of_a_list_is_a_finding() -> None:
    """Guards against a string that is accepted as a list of its characters."""
    text = '{"name": "c", "token_sha256": "", "databases": "survey", "classes": []}'
    text = f'{{"version": 1, "groups": [], "classes": [], "callers": [{text}]}}'
    assert findings(text) == ["f: $.callers[0].databases: is a string; expected a list"]


def test_enumeration_values_become_members() -> None:
    """Guards against enumeration values that stay strings."""
    assert structure("leaving", TargetState, "f").unwrap() is TargetState.LEAVING


def test_unreadable_files_are_findings(tmp_path: Path) -> None:
    """Guards against a traceback for a wrong path or a file that is not text."""
    assert "No such file" in str(load_settings(tmp_path / "none.json").failure()[0])
    (tmp_path / "binary").write_bytes(b"\xff\xfe")
    assert "not UTF-8 at byte 0" in str(load_bundle(tmp_path / "binary").failure()[0])
