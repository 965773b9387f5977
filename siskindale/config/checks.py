"""Runs the cross-field checks of settings and bundles."""

import itertools
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from siskindale.config import bundle_rules, change_rules, settings_rules
from siskindale.config.findings import Finding
from siskindale.config.loader import load_bundle, load_settings
from siskindale.config.rules import BUNDLE_CHECKS, CHANGE_CHECKS, SETTINGS_CHECKS, Problem
from siskindale.context import Environment
from siskindale.exits import ExitStatus
from siskindale.models.bundle import Bundle
from siskindale.models.settings import Settings
from siskindale.registry import Registry

# Importing these modules registers their checks.
RULE_MODULES = (settings_rules, bundle_rules, change_rules)

Findings = tuple[Finding, ...]


def check_settings(settings: Settings, source: str) -> Findings:
    """Returns all findings on a VM's settings."""
    return _run_checks(SETTINGS_CHECKS, source, settings)


def check_bundle(bundle: Bundle, source: str, previous: Bundle | None = None) -> Findings:
    """Returns all findings on a bundle and, if `previous` is given, on the change from it."""
    findings = _run_checks(BUNDLE_CHECKS, source, bundle)
    return (
        findings
        if previous is None
        else findings + _run_checks(CHANGE_CHECKS, source, previous, bundle)
    )


def load_checked_settings(path: Path) -> Result[Settings, Findings]:
    """Loads settings and runs all checks on them."""
    return load_settings(path).bind(lambda s: _fail_on_findings(s, check_settings(s, str(path))))


def load_checked_bundle(path: Path, previous: Bundle | None = None) -> Result[Bundle, Findings]:
    """Loads a bundle and runs all checks on it."""
    return load_bundle(path).bind(
        lambda b: _fail_on_findings(b, check_bundle(b, str(path), previous))
    )


def print_findings(findings: Iterable[Finding], environment: Environment) -> ExitStatus:
    """Prints the findings as errors; returns the exit status for invalid input."""
    for finding in findings:
        print(f"{environment.program}: error: {finding}", file=environment.stderr)
    return ExitStatus.INVALID_INPUT


def check_settings_file(path: Path, environment: Environment) -> ExitStatus:
    """Implements the command `check-settings FILE` of every program."""
    loaded = load_checked_settings(path)
    if isinstance(loaded, Failure):
        return print_findings(loaded.failure(), environment)
    print(f"{path}: ok", file=environment.stdout)
    return ExitStatus.SUCCESS


def _run_checks(
    checks: Registry[Callable[..., Iterable[Problem]]], source: str, *args: Any
) -> Findings:
    found = itertools.chain.from_iterable(checks.get(name)(*args) for name in checks.names)
    return tuple(Finding(f"{source}: {p.path}", p.problem, p.remedy) for p in found)


def _fail_on_findings(value: Any, findings: Findings) -> Result[Any, Findings]:
    return Failure(findings) if findings else Success(value)
