"""Client of the platform call that makes a target the primary of its group."""

import enum
import json

from returns.result import Failure

from siskindale.models.address import Address
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import Purpose


class Promotion(enum.Enum):
    """Outcome of a call; after `UNKNOWN` it may still be carried out seconds later.

    `REJECTED` means that a newer fencing token was seen or that the target is not running.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


_OUTCOMES = {
    200: Promotion.ACCEPTED,
    409: Promotion.REJECTED,
    429: Promotion.NOT_RUN,
    503: Promotion.NOT_RUN,
}


class PromotionClient:
    """Orders promotions in the name of one VM."""

    def __init__(self, address: Address, vm: str) -> None:
        headers = {"Content-Type": "application/json", "X-Duty-Holder": vm}
        self._client = HttpClient(address, headers, Purpose.PLATFORM)

    def promote(
        self, group: str, target_id: str, fencing_token: int, timeout_s: float
    ) -> Promotion:
        """Asks that the target becomes the primary; may be repeated with the same target."""
        answer = self._client.request(
            "POST",
            "/promote",
            json.dumps({"service": group, "id": target_id}).encode(),
            timeout_s,
            {"X-Fence-Token": str(fencing_token)},
        )
        if isinstance(answer, Failure):
            return Promotion.UNKNOWN if answer.failure().sent else Promotion.NOT_RUN
        return _OUTCOMES.get(answer.unwrap().status, Promotion.UNKNOWN)
