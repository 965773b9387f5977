"""Whether a pool still answers: probes of silent pools, and pools that are avoided for a while."""

from siskindale.entry.tables import PoolState, Tables

# A pool with outstanding requests that sends nothing for PROBE_AFTER_S is probed. If the probe is
# not answered within PROBE_TIMEOUT_S, the pool is avoided and probed again at doubling intervals.
PROBE_AFTER_S = 0.1
PROBE_TIMEOUT_S = 0.4
AVOID_MIN_S = 2.0
AVOID_MAX_S = 10.0
# A longer gap between ticks means that this process was paused; answers may be waiting unread.
PAUSE_THRESHOLD_S = 0.2


def start_probe_if_due(pool: PoolState, now: float) -> bool:
    """Returns whether to probe the pool now, and records the probe."""
    if pool.unresponsive:
        if now < pool.next_probe_at:
            return False
        mark_unresponsive(pool, now)
        return True
    if not pool.outstanding:
        pool.probe_sent_at = None
        return False
    if (
        pool.probe_sent_at is None
        and now - max(pool.last_message_at, pool.busy_since) >= PROBE_AFTER_S
    ):
        pool.probe_sent_at = now
        return True
    return False


def mark_unresponsive(pool: PoolState, now: float) -> None:
    """Avoids a pool until a message arrives, and sets when it is probed again."""
    pool.unresponsive = True
    pool.probe_sent_at = None
    pool.probe_delay_s = min(AVOID_MAX_S, max(AVOID_MIN_S, pool.probe_delay_s * 2))
    pool.next_probe_at = now + pool.probe_delay_s


def get_or_add_pool(tables: Tables, vm: str, now: float) -> PoolState:
    """Returns the state of a VM's pool, added if it is new."""
    pool = tables.pools.get(vm)
    if pool is None:
        pool = tables.pools[vm] = PoolState(vm, last_message_at=now)
    return pool


def is_avoided(tables: Tables, vm: str, now: float) -> bool:
    """Returns whether other pools come before that of a VM."""
    pool = tables.pools.get(vm)
    return pool is not None and pool.is_avoided(now)


def outstanding_requests(tables: Tables, vm: str) -> int:
    """Returns the number of unanswered requests at the pool of a VM."""
    pool = tables.pools.get(vm)
    return pool.outstanding if pool else 0


def mark_draining(tables: Tables, vm: str, now: float) -> None:
    """Marks a pool as draining; after a restart, it takes new requests again."""
    get_or_add_pool(tables, vm, now).draining_until = now + AVOID_MAX_S


def remove_departed_pools(tables: Tables, vms: set[str]) -> None:
    """Removes pools that are not among `vms` and have no outstanding requests."""
    for vm in [vm for vm, pool in tables.pools.items() if vm not in vms and not pool.outstanding]:
        del tables.pools[vm]
