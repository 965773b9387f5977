"""Size of results, which bounds the memory of a message."""

from siskindale.models.wire import Scalar
from siskindale.targets.interface import BatchResult

SCALAR_BYTES = 9


def size(batch: BatchResult) -> int:
    """Returns about how many bytes the rows of a batch take in a message."""
    rows = (row for result in batch.results if result is not None for row in result.rows)
    return sum(_scalar_size(value) for row in rows for value in row)


def _scalar_size(value: Scalar) -> int:
    return SCALAR_BYTES + (len(value) if isinstance(value, str) else 0)
