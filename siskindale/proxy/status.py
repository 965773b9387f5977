"""Status of a deployment, read from the store for operators."""

import json
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from siskindale.models.vm import ProxySettings
from siskindale.platform.entries import (
    CATALOG_KEY,
    CATALOG_TABLE,
    TARGETS_TABLE,
    decode_catalog,
    decode_target,
)
from siskindale.platform.store import PlatformStore
from siskindale.proxy.duty import DUTY_KEY, DUTY_TABLE
from siskindale.store.interface import Changes, PlatformError, Row
from siskindale.store.versions import era_of


@attrs.frozen
class TargetLine:
    """Registration of a target; `problem` says why an invalid one is ignored."""

    id: str
    group: str = ""
    state: str = ""
    role: str = ""
    failure_domain: str = ""
    problem: str = ""


@attrs.frozen
class DeploymentStatus:
    """Catalog version, registered targets, holder of the failover duty, and era of the store."""

    catalog_version: int
    databases: tuple[str, ...]
    targets: tuple[TargetLine, ...]
    duty_holder: str
    fencing_token: int
    store_era: int

    def as_json(self) -> str:
        """Returns the status as JSON."""
        return json.dumps(attrs.asdict(self), indent=2)

    def as_text(self) -> str:
        """Returns the status as lines of text for a terminal."""
        holder = self.duty_holder or "nobody"
        lines = [
            f"catalog version {self.catalog_version}, databases: {', '.join(self.databases)}",
            f"failover duty: {holder}, fencing token {self.fencing_token}",
            f"store era {self.store_era}",
        ]
        for target in self.targets:
            if target.problem:
                lines.append(f"{target.id}: ignored, {target.problem}")
            else:
                details = f"{target.group} {target.role} {target.state} {target.failure_domain}"
                lines.append(f"{target.id}: {details}")
        return "\n".join(lines)


def read_status(settings: ProxySettings) -> Result[DeploymentStatus, PlatformError]:
    """Reads the status from the store."""
    store = PlatformStore(settings.store)
    catalog = store.read(CATALOG_TABLE, CATALOG_KEY)
    targets = store.snapshot(TARGETS_TABLE)
    duty = store.read(DUTY_TABLE, DUTY_KEY)
    for answer in (catalog, targets, duty):
        if isinstance(answer, Failure):
            return answer
    return Success(_build_status(catalog.unwrap(), targets.unwrap(), duty.unwrap()))


def _build_status(catalog: Row | None, targets: Changes, duty: Row | None) -> DeploymentStatus:
    decoded = decode_catalog(catalog.value) if catalog else Failure("no catalog")
    known_catalog = decoded.unwrap() if isinstance(decoded, Success) else None
    return DeploymentStatus(
        catalog_version=known_catalog.version if known_catalog else 0,
        databases=tuple(sorted(known_catalog.routes)) if known_catalog else (),
        targets=tuple(_target_line(row.key, row.value) for row in targets.rows),
        duty_holder=str(duty.value.get("holder", "")) if duty else "",
        fencing_token=duty.version if duty else 0,
        store_era=era_of(targets.version),
    )


def _target_line(target_id: str, value: dict[str, Any]) -> TargetLine:
    decoded = decode_target(target_id, value)
    if isinstance(decoded, Failure):
        return TargetLine(target_id, problem=decoded.failure())
    entry = decoded.unwrap()
    return TargetLine(
        target_id, entry.group, entry.state.value, entry.role.value, entry.failure_domain
    )
