"""State of the session proxy: the catalog, its groups and their targets."""

import math
from collections.abc import Callable, Mapping
from typing import Any

from gevent.event import Event
from returns.result import Failure

from siskindale.context import Clock
from siskindale.models.catalog import (
    Catalog,
    RegistrationState,
    Route,
    TargetRegistration,
    Workspace,
)
from siskindale.models.vm import ProxySettings
from siskindale.platform.entries import decode_catalog, decode_target
from siskindale.proxy import metrics
from siskindale.proxy.decisions import leadership
from siskindale.proxy.decisions.identity import Caller, identify
from siskindale.proxy.decisions.registration import is_newer
from siskindale.proxy.pool import ConnectionPool
from siskindale.proxy.tables import Group, Target
from siskindale.runtime.logs import logger

DEFAULT_TRANSACTION_IDLE_S = 3.0


class ProxyState:
    """The catalog, the groups and the targets; only newer versions change them."""

    def __init__(
        self, settings: ProxySettings, clock: Clock, groups: dict[str, Group], pool: ConnectionPool
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._groups = groups
        self._pool = pool
        self._catalog: Catalog | None = None
        self._raw_catalog: Mapping[str, Any] | None = None
        self._registrations: dict[str, TargetRegistration] = {}
        self._targets_version = 0
        self._targets_known = False
        self._targets_confirmed_at: float | None = None
        self._catalog_confirmed_at: float | None = None
        self._changes_for_peers: dict[str, TargetRegistration | None] = {}
        self._catalog_loaded = Event()
        self._needs_targets: Callable[[], bool] = lambda: True

    @property
    def has_catalog(self) -> bool:
        """Whether any catalog is known."""
        return self._catalog is not None

    @property
    def catalog_version(self) -> int:
        """Version of the catalog in use, 0 if there is none."""
        return self._catalog.version if self._catalog else 0

    @property
    def targets_version(self) -> int:
        """Version of the store up to which registrations are known."""
        return self._targets_version

    @property
    def raw_catalog(self) -> Mapping[str, Any] | None:
        """The catalog as the store holds it, for peers."""
        return self._raw_catalog

    @property
    def registrations(self) -> Mapping[str, TargetRegistration]:
        """Valid registrations by target id, also those of groups that the catalog lacks."""
        return self._registrations

    @property
    def transaction_idle_s(self) -> float:
        """Time after which an idle transaction is rolled back."""
        return self._catalog.transaction_idle_s if self._catalog else DEFAULT_TRANSACTION_IDLE_S

    @property
    def catalog_age_s(self) -> float:
        """Time since the store is known to have had no newer catalog; infinite if it is not."""
        confirmed_at = self._catalog_confirmed_at
        return math.inf if confirmed_at is None else self.now() - confirmed_at

    @property
    def has_workspaces(self) -> bool:
        """Whether the catalog tells callers apart."""
        return self._catalog is not None and self._catalog.workspaces is not None

    @property
    def ready(self) -> bool:
        """Whether the catalog and, if this VM uses targets, their registrations are known."""
        return self._catalog is not None and (self._targets_known or not self._needs_targets())

    @property
    def groups(self) -> Mapping[str, Group]:
        """Groups by name."""
        return self._groups

    def needs_targets_if(self, condition: Callable[[], bool]) -> None:
        """Sets what tells whether this VM uses targets itself."""
        self._needs_targets = condition

    def now(self) -> float:
        """Seconds of the suspend-aware clock."""
        return self._clock.monotonic()

    def wait_for_catalog(self, timeout_s: float | None = None) -> None:
        """Waits until a catalog is known, or for `timeout_s`."""
        self._catalog_loaded.wait(timeout_s)

    def route(self, database: str) -> Route | None:
        """Returns how a database is served, None if it does not exist."""
        return self._catalog.routes.get(database) if self._catalog else None

    def identify(self, route: Route, key: str) -> Caller:
        """Returns whose statement it is that came with `key`, or why it is refused."""
        assert self._catalog is not None
        return identify(self._catalog, route, key, self.catalog_age_s, self._settings)

    def workspace(self, name: str) -> Workspace | None:
        """Returns a workspace, None if the catalog does not have it."""
        workspaces = self._catalog.workspaces if self._catalog else None
        return workspaces.get(name) if workspaces else None

    def confirm_catalog(self, version: int, at: float) -> None:
        """Records that the store held the catalog of `version` at `at` and no newer one.

        An older one, such as that of a restored store, confirms nothing.
        """
        if version == self.catalog_version:
            self._catalog_confirmed_at = max(at, self._catalog_confirmed_at or at)

    def group(self, route: Route) -> Group:
        """Returns the group of a route."""
        return self._groups[route.group]

    def adopt_catalog(self, raw: Mapping[str, Any], source: str) -> bool:
        """Applies a newer catalog, ignores others; returns whether it was applied."""
        decoded = decode_catalog(raw)
        if isinstance(decoded, Failure):
            logger().error("catalog-malformed", source=source, reason=decoded.failure())
            return False
        catalog = decoded.unwrap()
        if catalog.version <= self.catalog_version:
            return False
        if catalog.problems:
            logger().error("catalog-entries-ignored", source=source, reasons=catalog.problems)
        self._catalog = catalog
        self._raw_catalog = raw
        self._update_groups(catalog)
        self._catalog_loaded.set()
        logger().info(
            "catalog-adopted",
            version=catalog.version,
            source=source,
            routes=len(catalog.routes),
            workspaces=len(catalog.workspaces or ()),
        )
        return True

    def adopt_targets(
        self, entries: Mapping[str, Mapping[str, Any] | None], version: int, source: str
    ) -> None:
        """Applies changed registrations; None means that a registration is gone."""
        if version < self._targets_version:
            metrics.REGISTRATIONS_OUTDATED.inc()
            logger().warning(
                "registrations-outdated",
                source=source,
                version=version,
                known_version=self._targets_version,
            )
            return
        self._targets_version = version
        self._targets_known = True
        self._adopt_entries(entries, source)

    def _adopt_entries(self, entries: Mapping[str, Mapping[str, Any] | None], source: str) -> None:
        """Applies entries, where the failure of one concerns no other."""
        for target_id, raw in entries.items():
            try:
                if raw is None:
                    self._note_missing(target_id)
                else:
                    self._adopt_target(target_id, raw, source)
            except Exception:
                logger().exception("registration-failed", target=target_id, source=source)

    def adopt_peer_changes(self, changes: Mapping[str, Mapping[str, Any] | None]) -> None:
        """Applies changes that a peer has seen; the known version of the table stays the same."""
        self._adopt_entries(changes, "peer")
        self._changes_for_peers.clear()

    def take_changes(self) -> Mapping[str, TargetRegistration | None]:
        """Returns the changes since the last call, to send them to peers."""
        changes, self._changes_for_peers = self._changes_for_peers, {}
        return changes

    def confirm_targets(self, asked_at: float) -> None:
        """Records that the registrations match the store's at `asked_at` or later."""
        self._targets_confirmed_at = asked_at

    def replace_targets(
        self, entries: Mapping[str, Mapping[str, Any]], version: int, source: str
    ) -> None:
        """Applies a complete table of registrations; targets that it lacks count as missing."""
        gone = {target_id: None for target_id in self._registrations if target_id not in entries}
        self.adopt_targets({**entries, **gone}, version, source)

    def remove_missing(self, after_s: float) -> None:
        """Removes targets whose registrations have been gone for `after_s`."""
        gone_before = self.now() - after_s
        for group in self._groups.values():
            for target in list(group.targets.values()):
                if target.missing_since is not None and target.missing_since <= gone_before:
                    self._remove_target(group, target, "registration is gone")

    def restart_missing_timeouts(self) -> None:
        """Restarts the timeout of missing targets, because the store was unavailable meanwhile."""
        for target in self._targets():
            if target.missing_since is not None:
                target.missing_since = self.now()

    def _targets(self) -> list[Target]:
        return [target for group in self._groups.values() for target in group.targets.values()]

    def _update_groups(self, catalog: Catalog) -> None:
        for name, limits in catalog.groups.items():
            known = self._groups.get(name)
            if known is None:
                self._groups[name] = Group(name, limits)
            else:
                known.limits = limits
        for entry in self._registrations.values():
            self._apply_registration(entry, "catalog")

    def _note_missing(self, target_id: str) -> None:
        self._registrations.pop(target_id, None)
        for target in self._targets():
            if target.id == target_id and target.missing_since is None:
                target.missing_since = self.now()
                self._changes_for_peers[target_id] = None
                logger().info("registration-missing", target=target_id)

    def _adopt_target(self, target_id: str, raw: Mapping[str, Any], source: str) -> None:
        decoded = decode_target(target_id, raw)
        if isinstance(decoded, Failure):
            logger().warning("registration-ignored", target=target_id, reason=decoded.failure())
            return
        entry = decoded.unwrap()
        self._registrations[target_id] = entry
        self._apply_registration(entry, source)

    def _apply_registration(self, entry: TargetRegistration, source: str) -> None:
        group = self._groups.get(entry.group)
        if group is None:
            return
        known = group.targets.get(entry.id)
        if known is None:
            self._add_target(group, entry, source)
        elif is_newer(known.entry, entry):
            self._update_target(group, known, entry, source)
        if leadership.adopt_registered_primary(group):
            logger().info(
                "primary-registered", group=group.name, target=group.leadership.primary_id
            )
            self._pool.dispatch(group)

    def _add_target(self, group: Group, entry: TargetRegistration, source: str) -> None:
        target = Target(entry)
        group.targets[entry.id] = target
        self._note_change(group, target, "target-added", source)

    def _update_target(
        self, group: Group, target: Target, entry: TargetRegistration, source: str
    ) -> None:
        if entry.started_ms != target.entry.started_ms or entry.address != target.entry.address:
            self._remove_target(group, target, "restarted")
            self._add_target(group, entry, source)
            return
        changed = (entry.state, entry.role) != (target.entry.state, target.entry.role)
        target.entry = entry
        target.missing_since = None
        if changed:
            self._note_change(group, target, "target-changed", source)

    def _note_change(self, group: Group, target: Target, event: str, source: str) -> None:
        """Applies a new state or role of a target to its group, and logs it as `event`."""
        entry = target.entry
        self._changes_for_peers[entry.id] = entry
        self._note_draining(target)
        logger().info(
            event,
            group=group.name,
            target=entry.id,
            state=entry.state.value,
            role=entry.role.value,
            source=source,
        )
        self._pool.maintain(group)

    def _note_draining(self, target: Target) -> None:
        if target.entry.state is RegistrationState.DRAINING:
            if target.draining_since is None:
                target.draining_since = self._targets_confirmed_at or self.now()
                target.drain_observed = self._targets_confirmed_at is not None
        else:
            target.draining_since = None

    def _remove_target(self, group: Group, target: Target, reason: str) -> None:
        logger().info("target-removed", group=group.name, target=target.id, reason=reason)
        del group.targets[target.id]
        self._pool.close_target(group, target)
