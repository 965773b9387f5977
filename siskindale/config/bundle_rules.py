"""Cross-field checks of a single bundle."""

import itertools
from collections.abc import Iterator

import attrs

from siskindale.config.rules import (
    BUNDLE_CHECKS,
    Problem,
    require_at_least,
    require_at_most,
    require_hex,
    require_less_than,
    require_unique,
    require_valid_address,
    require_valid_name,
)
from siskindale.config.structuring import suggest_remedy
from siskindale.models.bundle import Bundle, RepeatPolicy, Target

DIGEST_BYTES = 32
MIN_VOTERS = 2
# The sum of decimal fractions has rounding errors.
SHARE_SUM_TOLERANCE = 1e-9
# A new bundle must be in effect within 8 s, so a program must not rely on an unconfirmed bundle for
# longer.
MAX_CONFIRMATION_LIMIT_MS = 8_000


def _targets_with_paths(bundle: Bundle) -> Iterator[tuple[str, Target]]:
    for group_index, group in enumerate(bundle.groups):
        for target_index, target in enumerate(group.targets):
            yield f"$.groups[{group_index}].targets[{target_index}]", target


@BUNDLE_CHECKS.register("version")
def check_version(bundle: Bundle) -> Iterator[Problem]:
    """Versions start at 1, and each later one names the digest of its predecessor."""
    yield from require_at_least("$.version", bundle.version, 1)
    if bundle.version == 1 and bundle.previous:
        yield Problem("$.previous", "is set, but version 1 has no previous bundle", "leave it out")
    if bundle.version > 1:
        yield from require_hex("$.previous", bundle.previous, DIGEST_BYTES, DIGEST_BYTES)


@BUNDLE_CHECKS.register("names")
def check_names(bundle: Bundle) -> Iterator[Problem]:
    """Names are valid and unique.

    Target names are unique across groups, since the live list names targets without their group.
    """
    targets = [(f"{path}.name", target.name) for path, target in _targets_with_paths(bundle)]
    groups = [(f"$.groups[{i}].name", group.name) for i, group in enumerate(bundle.groups)]
    classes = [(f"$.classes[{i}].name", c.name) for i, c in enumerate(bundle.classes)]
    callers = [(f"$.callers[{i}].name", c.name) for i, c in enumerate(bundle.callers)]
    for kind, entries in (
        ("target", targets),
        ("group", groups),
        ("class", classes),
        ("caller", callers),
    ):
        yield from itertools.chain.from_iterable(
            require_valid_name(path, name) for path, name in entries
        )
        yield from require_unique(kind, entries)


@BUNDLE_CHECKS.register("failure domains")
def check_failure_domains(bundle: Bundle) -> Iterator[Problem]:
    """Failure domains have valid names."""
    for path, target in _targets_with_paths(bundle):
        yield from require_valid_name(f"{path}.failure_domain", target.failure_domain)


@BUNDLE_CHECKS.register("addresses")
def check_addresses(bundle: Bundle) -> Iterator[Problem]:
    """Every address can be connected to, and no two targets or interfaces share an address."""
    entries = [
        entry
        for path, target in _targets_with_paths(bundle)
        for entry in ((f"{path}.data", target.data), (f"{path}.control", target.control))
    ]
    for path, address in entries:
        yield from require_valid_address(path, address)
    yield from require_unique("address", [(path, str(address)) for path, address in entries])


@BUNDLE_CHECKS.register("capacity")
def check_capacity(bundle: Bundle) -> Iterator[Problem]:
    """Each pool of a group gets at least one slot and one connection per target."""
    yield from require_at_least("$.pools_per_group", bundle.pools_per_group, 1)
    for path, target in _targets_with_paths(bundle):
        for name, value in (("slots", target.slots), ("connections", target.connections)):
            if value < max(1, bundle.pools_per_group):
                remedy = f"expected {bundle.pools_per_group} or more, one for each pool"
                yield Problem(f"{path}.{name}", f"is {value}", remedy)
        yield from require_at_most(f"{path}.slots", target.slots, "connections", target.connections)
        yield from require_at_least(f"{path}.connect_ms", target.connect_ms, 0)


@BUNDLE_CHECKS.register("voters")
def check_voters(bundle: Bundle) -> Iterator[Problem]:
    """Every group has a replica: with a single voter, losing that target would lose the group."""
    for index, group in enumerate(bundle.groups):
        if len(group.voters) < MIN_VOTERS:
            problem = f"group {group.name!r} has {len(group.voters)} targets that are not leaving"
            yield Problem(f"$.groups[{index}].targets", problem, f"expected {MIN_VOTERS} or more")


@BUNDLE_CHECKS.register("classes")
def check_classes(bundle: Bundle) -> Iterator[Problem]:
    """Every class has a minimum share, and its limits are in range."""
    if not bundle.classes:
        yield Problem("$.classes", "is empty", "add a class")
    for index, item in enumerate(bundle.classes):
        path = f"$.classes[{index}]"
        if not 0 < item.min_share <= 1:
            remedy = "expected more than 0, so that no class starves, and at most 1"
            yield Problem(f"{path}.min_share", f"is {item.min_share}", remedy)
        yield from require_at_least(f"{path}.max_age_ms", item.max_age_ms, 0)
        yield from require_at_least(f"{path}.queue_limit", item.queue_limit, 1)
        if item.repeat is RepeatPolicy.FORBIDDEN:
            min_retention_s = bundle.durations.transaction_limit_ms // 1000 + 1
            yield from require_at_least(
                f"{path}.key_retention_s", item.key_retention_s, min_retention_s
            )
    total_share = sum(item.min_share for item in bundle.classes)
    if total_share > 1 + SHARE_SUM_TOLERANCE:
        yield Problem(
            "$.classes", f"minimum shares add up to {total_share:g}", "expected at most 1"
        )


@BUNDLE_CHECKS.register("grants")
def check_grants(bundle: Bundle) -> Iterator[Problem]:
    """Grants refer to existing databases and classes."""
    groups = [group.name for group in bundle.groups]
    classes = [item.name for item in bundle.classes]
    for index, caller in enumerate(bundle.callers):
        path = f"$.callers[{index}]"
        yield from _require_known(f"{path}.databases", "database", caller.databases, groups)
        yield from _require_known(f"{path}.classes", "class", caller.classes, classes)
        yield from require_at_least(f"{path}.max_in_flight", caller.max_in_flight, 1)


@BUNDLE_CHECKS.register("tokens")
def check_tokens(bundle: Bundle) -> Iterator[Problem]:
    """Every caller has a SHA-256 of its bearer token, and no two callers share one."""
    entries = [
        (f"$.callers[{i}].token_sha256", c.token_sha256) for i, c in enumerate(bundle.callers)
    ]
    for path, text in entries:
        yield from require_hex(path, text, DIGEST_BYTES, DIGEST_BYTES)
    yield from require_unique("token", [(path, text.lower()) for path, text in entries])


@BUNDLE_CHECKS.register("read rules")
def check_read_rules(bundle: Bundle) -> Iterator[Problem]:
    """Read rules refer to existing callers and classes, each pair at most once."""
    callers = [caller.name for caller in bundle.callers]
    classes = [item.name for item in bundle.classes]
    for index, rule in enumerate(bundle.read_rules):
        path = f"$.read_rules[{index}]"
        yield from _require_known(f"{path}.caller", "caller", (rule.caller,), callers)
        yield from _require_known(
            f"{path}.statement_class", "class", (rule.statement_class,), classes
        )
        yield from require_at_least(f"{path}.max_age_ms", rule.max_age_ms, 0)
    pairs = [
        (f"$.read_rules[{i}]", f"{rule.caller} {rule.statement_class}")
        for i, rule in enumerate(bundle.read_rules)
    ]
    yield from require_unique("rule", pairs)


@BUNDLE_CHECKS.register("durations")
def check_durations(bundle: Bundle) -> Iterator[Problem]:
    """Durations are positive and ordered as failure detection and head polling require."""
    durations = bundle.durations
    for field in attrs.fields(type(durations)):
        value = getattr(durations, field.name)
        yield from require_at_least(
            f"$.durations.{field.name}", value, 0 if "rank" in field.name else 1
        )
    for shorter, longer in (
        ("probe_interval_ms", "loss_after_ms"),
        ("probe_timeout_ms", "loss_after_ms"),
        ("loss_after_ms", "promotion_interval_ms"),
        ("head_poll_ms", "head_confirmation_limit_ms"),
        ("idle_transaction_ms", "transaction_limit_ms"),
    ):
        yield from require_less_than(
            f"$.durations.{shorter}",
            getattr(durations, shorter),
            longer,
            getattr(durations, longer),
        )
    yield from require_at_most(
        "$.durations.head_confirmation_limit_ms",
        durations.head_confirmation_limit_ms,
        "the promised time for a bundle to be in effect",
        MAX_CONFIRMATION_LIMIT_MS,
    )


@BUNDLE_CHECKS.register("retry budget")
def check_retry_budget(bundle: Bundle) -> Iterator[Problem]:
    """The retry budget is a fraction of the requests."""
    if not 0 <= bundle.retry_budget <= 1:
        yield Problem("$.retry_budget", f"is {bundle.retry_budget}", "expected 0 to 1")


def _require_known(
    path: str, kind: str, names: tuple[str, ...], known: list[str]
) -> Iterator[Problem]:
    for name in names:
        if name not in known:
            yield Problem(path, f"unknown {kind} {name!r}", suggest_remedy(name, known))
