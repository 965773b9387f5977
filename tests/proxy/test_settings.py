"""Settings file of the session proxy."""

import json
import re
from pathlib import Path
from typing import Any

import pytest
from returns.result import Success

from siskindale.models.address import Address
from siskindale.proxy.settings import load_settings

TEMPLATE = Path(__file__).parent.parent.parent / "deploy" / "settings.json"
SECTION = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
VALUE = re.compile(r"\{\{([a-z_.]+)\|json\}\}")
PLAIN = re.compile(r"\{\{([a-z_.0-9]+)\}\}")

Fields = dict[str, Any]


@pytest.fixture
def fields() -> Fields:
    """Values with which the platform fills in the template."""
    return {
        "node": "vm-1",
        "zone": "t0",
        "listen.front": "10.1.0.8:8784",
        "listen.readiness_addr": "10.1.0.8:8785",
        "listen.control": "10.1.0.8:8782",
        "platform.address": "10.200.1.7:8783",
        "cloud.address": "10.200.0.160:8783",
        "ip": "10.1.0.8",
        "port_range.0": 7440,
        "limits.cpu_share": 0.717,
        "limits.cores": 3,
        "bounds.config_apply_ms": 5000,
        "bounds.drain_ms": 9000,
        "bounds.grace_s": 5,
        "seeds": ["10.2.0.6:8782", "10.3.0.7:8782"],
    }


def render(fields: Fields) -> str:
    """Fills in the template as the platform does."""

    def section(match: re.Match[str]) -> str:
        value = fields.get(match[1])
        if not isinstance(value, list):
            return match[2] if value else ""
        items = [match[2].replace("{{.|json}}", json.dumps(item)) for item in value]
        last = len(items) - 1
        return "".join(t.replace("{{,}}", "," if i < last else "") for i, t in enumerate(items))

    sections = SECTION.sub(section, TEMPLATE.read_text())
    values = VALUE.sub(lambda match: json.dumps(fields[match[1]]), sections)
    return PLAIN.sub(lambda match: str(fields[match[1]]), values)


def test_template_of_the_deployment_gives_valid_settings(tmp_path: Path, fields: Fields) -> None:
    """Guards against a template with fields unknown to the proxy, or that is not JSON."""
    path = tmp_path / "proxy.json"
    path.write_text(render(fields))
    settings = load_settings(path).unwrap()
    assert settings.vm == "vm-1"
    assert settings.store == Address("10.200.1.7", 8783)
    assert settings.seeds == (Address("10.2.0.6", 8782), Address("10.3.0.7", 8782))
    assert (settings.drain_s, settings.grace_s) == (9.0, 5.0)
    assert settings.catalog_apply_s == 5.0
    assert settings.forwarding == Address("10.1.0.8", 7440)
    assert settings.capacity == pytest.approx(2.151)


def test_template_leaves_out_bounds_that_a_deployment_lacks(tmp_path: Path, fields: Fields) -> None:
    """Guards against a proxy that does not start without a bound or without seeds."""
    path = tmp_path / "proxy.json"
    path.write_text(render({**fields, "bounds.drain_ms": None, "bounds.grace_s": 0, "seeds": []}))
    assert load_settings(path).unwrap().drain_s == 7.0


def test_comments_are_allowed(tmp_path: Path, fields: Fields) -> None:
    """Guards against refusing comments in settings written by hand."""
    path = tmp_path / "proxy.json"
    path.write_text("// Written by hand.\n" + render(fields))
    assert isinstance(load_settings(path), Success)


def test_broken_json_is_reported_with_its_place(tmp_path: Path) -> None:
    """Guards against a syntax error without line and column."""
    path = tmp_path / "proxy.json"
    path.write_text('{"vm": }')
    (finding,) = load_settings(path).failure()
    assert finding.place.startswith(f"{path}:1:")


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("[]", "$"),
        ('{"metrics_port": true}', "$.metrics_port"),
        ('{"grace_s": -1}', "$.grace_s"),
        ('{"log_level": "loud"}', "$.log_level"),
        ('{"seeds": {}}', "$.seeds"),
    ],
)
def test_invalid_values_are_findings(tmp_path: Path, text: str, place: str) -> None:
    """Guards against using values of a wrong type or out of range."""
    path = tmp_path / "proxy.json"
    path.write_text(text)
    places = [finding.place for finding in load_settings(path).failure()]
    assert f"{path}: {place}" in places
