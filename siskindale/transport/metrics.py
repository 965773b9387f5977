"""Bytes that a program sends and receives by purpose, without TCP and IP headers."""

import enum

from siskindale.runtime.counters import Metric

TRAFFIC_BYTES = Metric(
    "siskindale_traffic_bytes", "Bytes sent and received", ("purpose", "direction")
)


class TrafficPurpose(enum.StrEnum):
    """Purpose of a connection; the last three are for messages between programs.

    `LOCAL` messages stay within the VM and do not count towards its budget for control traffic.
    """

    PLATFORM = "platform"
    TARGET_CONTROL = "target-control"
    TARGET_DATA = "target-data"
    STATEMENTS = "statements"
    CONTROL = "control"
    LOCAL = "local"


class TrafficCounters:
    """Counters of one purpose, looked up once because every message updates them."""

    def __init__(self, purpose: TrafficPurpose) -> None:
        self.sent = TRAFFIC_BYTES.labels(purpose.value, "sent")
        self.received = TRAFFIC_BYTES.labels(purpose.value, "received")
