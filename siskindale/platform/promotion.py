"""Client of the platform's call that makes a target the primary of its group.

The platform calls a group `service`; `X-Duty-Holder` names the VM that holds the failover duty.
"""

import enum
import json

from returns.result import Failure

from siskindale.models.address import Address
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose


class PromotionOutcome(enum.Enum):
    """Outcome of a call; after `UNKNOWN` the platform may still promote the target seconds later.

    `REJECTED` means that the platform has seen a newer fencing token or the target is not running.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


_OUTCOME_BY_STATUS = {
    200: PromotionOutcome.ACCEPTED,
    409: PromotionOutcome.REJECTED,
    429: PromotionOutcome.NOT_RUN,
    503: PromotionOutcome.NOT_RUN,
}


class PromotionClient:
    """Requests promotions in the name of one VM."""

    def __init__(self, address: Address, vm: str) -> None:
        headers = {"Content-Type": "application/json", "X-Duty-Holder": vm}
        self._client = HttpClient(address, headers, TrafficPurpose.PLATFORM)

    def promote(
        self, group: str, target_id: str, fencing_token: int, timeout_s: float
    ) -> PromotionOutcome:
        """Requests that a target becomes the primary; may be repeated with the same target."""
        response = self._client.request(
            "POST",
            "/promote",
            json.dumps({"service": group, "id": target_id}).encode(),
            timeout_s,
            {"X-Fence-Token": str(fencing_token)},
        )
        if isinstance(response, Failure):
            return (
                PromotionOutcome.UNKNOWN
                if response.failure().maybe_sent
                else PromotionOutcome.NOT_RUN
            )
        return _OUTCOME_BY_STATUS.get(response.unwrap().status, PromotionOutcome.UNKNOWN)
