"""Replays of workspaces that compete for too few slots."""

from collections import defaultdict

import pytest
from gevent.event import AsyncResult

from siskindale.proxy.decisions import fairness, waiting
from siskindale.proxy.tables import Group, Need, Waiter

SLOTS = 5
TICK_S = 0.002
SMALL = [f"small-{number}" for number in range(20)]
FLOOD_FACTOR = 7


def replay(group: Group, rates: dict[str, float], work_s: float) -> dict[str, list[float]]:
    """Plays statements at constant rates for 6 s; returns the delays of those served, by workspace.

    The decisions are those of the proxy. Statements that wait longer than 1 s are refused.
    """
    running: list[tuple[float, str]] = []
    arrived_at: dict[int, float] = {}
    sent = dict.fromkeys(rates, 0.0)
    delays: dict[str, list[float]] = defaultdict(list)
    waiters: list[Waiter] = []
    for tick in range(int(6.0 / TICK_S)):
        now = tick * TICK_S
        running = [entry for entry in running if entry[0] > now]
        for workspace, per_s in rates.items():
            sent[workspace] += per_s * TICK_S
            while sent[workspace] >= 1.0:
                sent[workspace] -= 1.0
                need = Need(None, 1, now + 1.0, True, now + 0.4, workspace)
                waiters.append(Waiter(need, set(), AsyncResult()))
                arrived_at[id(waiters[-1])] = now
        waiters = [waiter for waiter in waiters if waiter.need.deadline > now]
        ordered = waiting.service_order(waiters, now, group.recent_work)
        for waiter in ordered[: SLOTS - len(running)]:
            waiters.remove(waiter)
            workspace = waiter.need.workspace
            fairness.note_work(group, workspace, work_s, now)
            running.append((now + work_s, workspace))
            delays[workspace].append(now + work_s - arrived_at.pop(id(waiter)))
    return delays


def percentile_99(delays: dict[str, list[float]]) -> float:
    values = sorted(delay for name in SMALL for delay in delays[name])
    return values[int(0.99 * len(values))]


@pytest.mark.parametrize("work_s", [0.008, 0.024])
def test_a_flood_of_one_workspace_does_not_delay_the_others(group: Group, work_s: float) -> None:
    """Guards against small workspaces whose statements wait behind those of a flood.

    The large workspace uses a quarter of the slots, then sends seven times as much.
    """
    capacity = SLOTS / work_s
    small = {name: 0.45 * capacity / len(SMALL) for name in SMALL}
    usual = replay(group, {**small, "large": 0.25 * capacity}, work_s)
    group.recent_work.clear()
    flooded = replay(group, {**small, "large": FLOOD_FACTOR * 0.25 * capacity}, work_s)
    assert percentile_99(flooded) <= 1.25 * max(percentile_99(usual), 2 * work_s)


def test_slots_that_nobody_else_needs_go_to_the_flood(group: Group) -> None:
    """Guards against slots that stay idle while a workspace waits."""
    work_s = 0.02
    small = {name: 0.2 * SLOTS / work_s / len(SMALL) for name in SMALL}
    delays = replay(group, {**small, "large": FLOOD_FACTOR * SLOTS / work_s}, work_s)
    used_s = work_s * sum(map(len, delays.values()))
    assert used_s / (6.0 * SLOTS) > 0.95


def test_work_counts_and_not_statements(group: Group) -> None:
    """Guards against long statements that get several times the slots of short ones."""
    fairness.note_work(group, "reports", 0.4, now=0.0)
    for _ in range(5):
        fairness.note_work(group, "look-ups", 0.02, now=0.0)
    waiters = [
        Waiter(Need(None, 1, 1.0, True, 0.5, name), set(), AsyncResult())
        for name in ("reports", "look-ups")
    ]
    served = waiting.service_order(waiters, 0.1, group.recent_work)
    assert [waiter.need.workspace for waiter in served] == ["look-ups", "reports"]
