"""Checks of a bundle against the bundle that it replaces."""

from collections.abc import Iterator

from siskindale.config.rules import CHANGE_CHECKS, Problem
from siskindale.models.bundle import Bundle, Group


def _common_groups(previous: Bundle, bundle: Bundle) -> Iterator[tuple[str, Group, Group]]:
    for index, group in enumerate(bundle.groups):
        before = previous.group(group.name)
        if before is not None:
            yield f"$.groups[{index}].targets", before, group


@CHANGE_CHECKS.register("next version")
def check_next_version(previous: Bundle, bundle: Bundle) -> Iterator[Problem]:
    """Versions are consecutive."""
    if bundle.version != previous.version + 1:
        remedy = f"expected {previous.version + 1}, the one after the bundle in effect"
        yield Problem("$.version", f"is {bundle.version}", remedy)


@CHANGE_CHECKS.register("one voter at a time")
def check_voter_changes(previous: Bundle, bundle: Bundle) -> Iterator[Problem]:
    """At most one voter changes, so that majorities of consecutive voter sets overlap."""
    for path, before, after in _common_groups(previous, bundle):
        changed = sorted(set(before.voters) ^ set(after.voters))
        if len(changed) > 1:
            problem = f"group {after.name!r} changes {len(changed)} voters: {', '.join(changed)}"
            yield Problem(path, problem, "change one at a time, in a bundle of its own")


@CHANGE_CHECKS.register("last replica")
def check_last_replica(previous: Bundle, bundle: Bundle) -> Iterator[Problem]:
    """A joining target has no data yet, so it cannot replace the last replica."""
    for path, before, after in _common_groups(previous, bundle):
        kept = set(before.voters) & set(after.voters)
        if len(before.voters) > 1 and len(kept) < 2:
            problem = f"group {after.name!r} loses its last replica"
            yield Problem(path, problem, "let another target join first")


@CHANGE_CHECKS.register("identity of targets")
def check_identity(previous: Bundle, bundle: Bundle) -> Iterator[Problem]:
    """Addresses of a target do not change.

    A target at another address may lack the log, but would still count towards majorities.
    """
    for path, before, after in _common_groups(previous, bundle):
        for target in after.targets:
            old = before.target(target.name)
            if old is None or (old.data, old.control) == (target.data, target.control):
                continue
            problem = f"the address of target {target.name!r} changes"
            yield Problem(path, problem, "let this target leave and a target with a new name join")
