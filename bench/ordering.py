"""Order of statements within a class: first in, first out against the smallest expected cost.

Both policies get the same arrivals and costs at a target with two slots. The expected cost of a
statement's text is the mean of its last ten runs, the latest weighted most, as in the case study
"Message Queue for Saving a Very High Traffic Data Analytics Based Web Application".
"""

import heapq
import itertools
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random

import attrs
import gevent
import msgspec
from hdrh.histogram import HdrHistogram

from bench.cluster import TOKEN, Cluster
from bench.experiment import DeploymentPlan
from bench.processes import Processes
from siskindale.models.address import Address
from siskindale.transport.http import HttpClient
from siskindale.transport.metrics import TrafficPurpose

SLOTS = 2
DEADLINE_MS = 20_000
MAX_KEPT = 256
RECENT_RUNS = 10
UNKNOWN_COST_S = 0.0
# Mean cost in seconds and share of the arrivals of each statement text.
MIX = {"short": (0.002, 0.9), "medium": (0.02, 0.07), "long": (0.2, 0.03)}


@attrs.frozen
class Arrival:
    """A statement: its time, its text and the cost that it will turn out to have, in seconds."""

    at: float
    text: str
    cost: float


@attrs.frozen
class Waits:
    """Milliseconds from arrival to start."""

    policy: str
    text: str
    count: int
    median_ms: float
    p99_ms: float
    maximum_ms: float


class ExpectedCost:
    """Weighted mean of the last runs of each text."""

    def __init__(self) -> None:
        self._runs: dict[str, deque[float]] = {}

    def __call__(self, text: str) -> float:
        """Returns seconds; 0 for a text that never ran, so that its cost is learned soon."""
        runs = self._runs.get(text)
        if not runs:
            return UNKNOWN_COST_S
        weights = range(1, len(runs) + 1)
        return sum(w * run for w, run in zip(weights, runs, strict=True)) / sum(weights)

    def note(self, text: str, cost: float) -> None:
        """Keeps a run."""
        self._runs.setdefault(text, deque(maxlen=RECENT_RUNS)).append(cost)


Rank = Callable[[Arrival, ExpectedCost], float]

POLICIES: dict[str, Rank] = {
    "first in, first out": lambda arrival, _: arrival.at,
    "expected cost": lambda arrival, expected: expected(arrival.text),
    "expected cost with aging": lambda arrival, expected: arrival.at + 10 * expected(arrival.text),
}


def arrivals(utilisation: float, count: int, seed: int) -> list[Arrival]:
    """Returns Poisson arrivals that keep the slots busy for the given share of the time."""
    random = Random(seed)
    mean = sum(cost * share for cost, share in MIX.values())
    rate = utilisation * SLOTS / mean
    shares = [share for _, share in MIX.values()]
    times = itertools.accumulate(random.expovariate(rate) for _ in range(count))
    texts = random.choices(list(MIX), shares, k=count)
    return [
        Arrival(at, text, random.gammavariate(4, MIX[text][0] / 4))
        for at, text in zip(times, texts, strict=True)
    ]


def simulate(policy: str, work: list[Arrival]) -> list[Waits]:
    """Serves all arrivals by a policy; the rank of a waiting statement is set when it arrives."""
    expected, rank = ExpectedCost(), POLICIES[policy]
    histograms = {text: HdrHistogram(1, 600_000_000, 3) for text in (*MIX, "all")}
    waiting: list[tuple[float, int, Arrival]] = []
    running: list[tuple[float, int, Arrival]] = []
    upcoming = deque(enumerate(work))
    while upcoming or waiting:
        now = _next_time(upcoming, running)
        while running and running[0][0] <= now:
            ended = heapq.heappop(running)[2]
            expected.note(ended.text, ended.cost)
        while upcoming and upcoming[0][1].at <= now:
            number, arrival = upcoming.popleft()
            heapq.heappush(waiting, (rank(arrival, expected), number, arrival))
        while waiting and len(running) < SLOTS:
            _, number, arrival = heapq.heappop(waiting)
            heapq.heappush(running, (now + arrival.cost, number, arrival))
            for text in (arrival.text, "all"):
                histograms[text].record_value(max(1, int((now - arrival.at) * 1e6)))
    return [_waits(policy, text, histogram) for text, histogram in histograms.items()]


def _next_time(
    upcoming: deque[tuple[int, Arrival]], running: list[tuple[float, int, Arrival]]
) -> float:
    ends = running[0][0] if running else float("inf")
    return min(ends, upcoming[0][1].at) if upcoming else ends


def _waits(policy: str, text: str, histogram: HdrHistogram) -> Waits:
    values = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 100))
    return Waits(policy, text, histogram.get_total_count(), *values)


@attrs.frozen
class Served:
    """Milliseconds from the due time of a statement to its answer, through entry and pool."""

    text: str
    count: int
    refused: int
    median_ms: float
    p99_ms: float
    maximum_ms: float


def through_pool(directory: Path, utilisation: float, seconds: float, seed: int) -> list[Served]:
    """Sends the mix as strongly consistent reads through one entry and one pool with two slots."""
    # One pool of two gets half of the four slots.
    plan = DeploymentPlan(vms=1, databases=("caves",), slots=2 * SLOTS, connections=64)
    mean = sum(cost * share for cost, share in MIX.values())
    work = arrivals(utilisation, int(seconds * utilisation * SLOTS / mean), seed)
    with Processes(directory) as processes:
        cluster = Cluster(plan, processes, directory)
        cluster.start()
        listen = next(iter(cluster.vms.values())).settings.entry.listen
        return _Load(listen, plan.databases[0]).run(work)


class _Load:
    def __init__(self, entry: Address, database: str) -> None:
        headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        headers["Siskindale-Deadline-Ms"] = str(DEADLINE_MS)
        self._client = HttpClient(entry, headers, TrafficPurpose.STATEMENTS, MAX_KEPT)
        self._path = f"/v1/databases/{database}/statements"
        self._histograms = {text: HdrHistogram(1, 600_000_000, 3) for text in (*MIX, "all")}
        self._refused = dict.fromkeys(self._histograms, 0)

    def run(self, work: list[Arrival]) -> list[Served]:
        """Starts every statement when it is due; returns when all are answered."""
        started = time.monotonic() + 0.5
        greenlets = []
        for arrival in work:
            gevent.sleep(max(0.0, started + arrival.at - time.monotonic()))
            greenlets.append(gevent.spawn(self._send, arrival, started + arrival.at))
        gevent.joinall(greenlets, raise_error=True)
        return [self._served(text, histogram) for text, histogram in self._histograms.items()]

    def _send(self, arrival: Arrival, due_at: float) -> None:
        sql = f"/* cost_ms={MIX[arrival.text][0] * 1000:g} */ SELECT 1"
        body = {"sql": sql, "params": [], "access": "read", "class": "revisions"}
        answer = self._client.request(
            "POST", self._path, msgspec.json.encode(body), DEADLINE_MS / 1000 + 1
        ).unwrap()
        for text in (arrival.text, "all"):
            if answer.status == 200:
                self._histograms[text].record_value(int((time.monotonic() - due_at) * 1e6))
            else:
                self._refused[text] += 1

    def _served(self, text: str, histogram: HdrHistogram) -> Served:
        values = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 100))
        return Served(text, histogram.get_total_count(), self._refused[text], *values)
