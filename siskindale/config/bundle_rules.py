"""Checks of a bundle by itself."""

import itertools
from collections.abc import Iterator

import attrs

from siskindale.config.rules import (
    BUNDLE_CHECKS,
    Problem,
    above,
    bad_address,
    bad_hex,
    bad_name,
    below,
    not_below,
    repeated,
)
from siskindale.config.structuring import suggest
from siskindale.models.bundle import Bundle, RepeatPolicy, Target

DIGEST_BYTES = 32
LEAST_VOTERS = 2
# Shares are decimal fractions; their sum has rounding errors.
SHARE_TOLERANCE = 1e-9
# A bundle must be in effect within 8 s, so an unconfirmed one may not be trusted for longer.
CONFIRMATION_LIMIT_MS = 8_000


def _targets(bundle: Bundle) -> Iterator[tuple[str, Target]]:
    for g, group in enumerate(bundle.groups):
        for t, target in enumerate(group.targets):
            yield f"$.groups[{g}].targets[{t}]", target


@BUNDLE_CHECKS.register("version")
def check_version(bundle: Bundle) -> Iterator[Problem]:
    """The version counts from 1, and each later one names its predecessor."""
    yield from below("$.version", bundle.version, 1)
    if bundle.version == 1 and bundle.previous:
        yield Problem("$.previous", "is set, but version 1 has no previous bundle", "leave it out")
    if bundle.version > 1:
        yield from bad_hex("$.previous", bundle.previous, DIGEST_BYTES, DIGEST_BYTES)


@BUNDLE_CHECKS.register("names")
def check_names(bundle: Bundle) -> Iterator[Problem]:
    """Names are valid and each is used once; the live list names targets without their group."""
    targets = [(f"{path}.name", target.name) for path, target in _targets(bundle)]
    groups = [(f"$.groups[{i}].name", group.name) for i, group in enumerate(bundle.groups)]
    classes = [(f"$.classes[{i}].name", c.name) for i, c in enumerate(bundle.classes)]
    callers = [(f"$.callers[{i}].name", c.name) for i, c in enumerate(bundle.callers)]
    for what, places in (
        ("target", targets),
        ("group", groups),
        ("class", classes),
        ("caller", callers),
    ):
        yield from itertools.chain.from_iterable(bad_name(path, name) for path, name in places)
        yield from repeated(what, places)


@BUNDLE_CHECKS.register("failure domains")
def check_failure_domains(bundle: Bundle) -> Iterator[Problem]:
    """Failure domains have valid names."""
    for path, target in _targets(bundle):
        yield from bad_name(f"{path}.failure_domain", target.failure_domain)


@BUNDLE_CHECKS.register("addresses")
def check_addresses(bundle: Bundle) -> Iterator[Problem]:
    """Every address can be connected to, and no two targets or interfaces share one."""
    places = [
        place
        for path, target in _targets(bundle)
        for place in ((f"{path}.data", target.data), (f"{path}.control", target.control))
    ]
    for path, address in places:
        yield from bad_address(path, address)
    yield from repeated("address", [(path, str(address)) for path, address in places])


@BUNDLE_CHECKS.register("capacity")
def check_capacity(bundle: Bundle) -> Iterator[Problem]:
    """Each pool of a group gets at least one slot and one connection of each target."""
    yield from below("$.pools_per_group", bundle.pools_per_group, 1)
    for path, target in _targets(bundle):
        for name, value in (("slots", target.slots), ("connections", target.connections)):
            if value < max(1, bundle.pools_per_group):
                remedy = f"expected {bundle.pools_per_group} or more, one for each pool"
                yield Problem(f"{path}.{name}", f"is {value}", remedy)
        yield from above(f"{path}.slots", target.slots, "connections", target.connections)
        yield from below(f"{path}.connect_ms", target.connect_ms, 0)


@BUNDLE_CHECKS.register("voters")
def check_voters(bundle: Bundle) -> Iterator[Problem]:
    """A group keeps a replica: with one voter, its loss ends the group."""
    for index, group in enumerate(bundle.groups):
        if len(group.voters) < LEAST_VOTERS:
            problem = f"group {group.name!r} has {len(group.voters)} targets that are not leaving"
            yield Problem(f"$.groups[{index}].targets", problem, f"expected {LEAST_VOTERS} or more")


@BUNDLE_CHECKS.register("classes")
def check_classes(bundle: Bundle) -> Iterator[Problem]:
    """Every class has a share, and its limits are positive."""
    if not bundle.classes:
        yield Problem("$.classes", "is empty", "add a class")
    for index, item in enumerate(bundle.classes):
        path = f"$.classes[{index}]"
        if not 0 < item.min_share <= 1:
            remedy = "expected more than 0, so that no class is starved, and at most 1"
            yield Problem(f"{path}.min_share", f"is {item.min_share}", remedy)
        yield from below(f"{path}.max_age_ms", item.max_age_ms, 0)
        yield from below(f"{path}.queue_limit", item.queue_limit, 1)
        if item.repeat is RepeatPolicy.FORBIDDEN:
            least = bundle.durations.transaction_limit_ms // 1000 + 1
            yield from below(f"{path}.key_retention_s", item.key_retention_s, least)
    total = sum(item.min_share for item in bundle.classes)
    if total > 1 + SHARE_TOLERANCE:
        yield Problem("$.classes", f"minimum shares add up to {total:g}", "expected at most 1")


@BUNDLE_CHECKS.register("grants")
def check_grants(bundle: Bundle) -> Iterator[Problem]:
    """Grants name databases and classes that exist."""
    groups = [group.name for group in bundle.groups]
    classes = [item.name for item in bundle.classes]
    for c, caller in enumerate(bundle.callers):
        path = f"$.callers[{c}]"
        yield from _unknown(f"{path}.databases", "database", caller.databases, groups)
        yield from _unknown(f"{path}.classes", "class", caller.classes, classes)
        yield from below(f"{path}.max_in_flight", caller.max_in_flight, 1)


@BUNDLE_CHECKS.register("tokens")
def check_tokens(bundle: Bundle) -> Iterator[Problem]:
    """Bearer tokens are told apart by their SHA-256."""
    places = [
        (f"$.callers[{i}].token_sha256", c.token_sha256) for i, c in enumerate(bundle.callers)
    ]
    for path, text in places:
        yield from bad_hex(path, text, DIGEST_BYTES, DIGEST_BYTES)
    yield from repeated("token", [(path, text.lower()) for path, text in places])


@BUNDLE_CHECKS.register("read rules")
def check_read_rules(bundle: Bundle) -> Iterator[Problem]:
    """Read rules name callers and classes that exist, each pair once."""
    callers = [caller.name for caller in bundle.callers]
    classes = [item.name for item in bundle.classes]
    for index, rule in enumerate(bundle.read_rules):
        path = f"$.read_rules[{index}]"
        yield from _unknown(f"{path}.caller", "caller", (rule.caller,), callers)
        yield from _unknown(f"{path}.statement_class", "class", (rule.statement_class,), classes)
        yield from below(f"{path}.max_age_ms", rule.max_age_ms, 0)
    pairs = [
        (f"$.read_rules[{i}]", f"{rule.caller} {rule.statement_class}")
        for i, rule in enumerate(bundle.read_rules)
    ]
    yield from repeated("rule", pairs)


@BUNDLE_CHECKS.register("durations")
def check_durations(bundle: Bundle) -> Iterator[Problem]:
    """Durations are positive and in an order in which detection and following can work."""
    durations = bundle.durations
    for field in attrs.fields(type(durations)):
        value = getattr(durations, field.name)
        yield from below(f"$.durations.{field.name}", value, 0 if "rank" in field.name else 1)
    for shorter, longer in (
        ("probe_interval_ms", "loss_after_ms"),
        ("probe_timeout_ms", "loss_after_ms"),
        ("loss_after_ms", "promotion_interval_ms"),
        ("head_poll_ms", "head_confirmation_limit_ms"),
        ("idle_transaction_ms", "transaction_limit_ms"),
    ):
        yield from not_below(
            f"$.durations.{shorter}",
            getattr(durations, shorter),
            longer,
            getattr(durations, longer),
        )
    yield from above(
        "$.durations.head_confirmation_limit_ms",
        durations.head_confirmation_limit_ms,
        "the promised time for a bundle to be in effect",
        CONFIRMATION_LIMIT_MS,
    )


@BUNDLE_CHECKS.register("retry budget")
def check_retry_budget(bundle: Bundle) -> Iterator[Problem]:
    """The retry budget is a part of the requests."""
    if not 0 <= bundle.retry_budget <= 1:
        yield Problem("$.retry_budget", f"is {bundle.retry_budget}", "expected 0 to 1")


def _unknown(path: str, what: str, names: tuple[str, ...], known: list[str]) -> Iterator[Problem]:
    for name in names:
        if name not in known:
            yield Problem(path, f"unknown {what} {name!r}", suggest(name, known))
