"""Wire names of the platform are used only in its adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
ADAPTER = ROOT / "siskindale" / "platform"
NAMES = re.compile(
    r"rows-(tx|get|feed|parts)|blob-(put|get)|X-(Duty|Fence|Expect)|/v1/ready"
    r"|READONLY|MISROUTED|TOOMANY|NOSTMT|STEPDOWN|NODB"
    r"|max_staleness_ms|tx_idle_ms|readiness_addr|db_role|cold_left_ms|max_conns|bounded_staleness"
)


def test_no_other_module_uses_wire_names_of_the_platform() -> None:
    """Guards against wire names that spread to other modules."""
    found = [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for path in sorted((ROOT / "siskindale").rglob("*.py"))
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found, "\n".join(found)
