"""Estimated size of results, used to limit the memory that a message takes."""

from siskindale.models.wire import Scalar
from siskindale.targets.interface import BatchResult

SCALAR_OVERHEAD_BYTES = 9


def estimated_bytes(batch: BatchResult) -> int:
    """Estimates how many bytes the rows of a batch take in a message."""
    rows = (row for result in batch.results if result is not None for row in result.rows)
    return sum(_scalar_bytes(value) for row in rows for value in row)


def _scalar_bytes(value: Scalar) -> int:
    return SCALAR_OVERHEAD_BYTES + (len(value) if isinstance(value, str) else 0)
