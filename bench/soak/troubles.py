"""Troubles of a soak, drawn from its seed; each is a function over the soak that is running."""

import signal
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent

from siskindale.registry import Registry

if TYPE_CHECKING:
    from bench.soak.run import Soak

Trouble = Callable[["Soak"], None]
TROUBLES: Registry[Trouble] = Registry("trouble of a soak")

ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {"version": "v\udc80"},
    {"seq": 2**70},
    {"address": "127.0.0.1:70000"},
    {"address": "a..b:80"},
    {"cold_left_ms": 10**400},
)


@TROUBLES.register("roll")
def roll(soak: "Soak") -> None:
    """Stops all VMs in turn by SIGTERM, one second apart, and starts them again."""
    stops = []
    for name in list(soak.proxies):
        stops.append(gevent.spawn(soak.stop_and_start, name))
        gevent.sleep(1.0)
    gevent.joinall(stops, raise_error=True)


@TROUBLES.register("kill")
def kill(soak: "Soak") -> None:
    """Kills one VM and starts it again."""
    name = soak.choose_vm()
    soak.kill(name)
    gevent.sleep(soak.random.uniform(0.2, 1.0))
    soak.start(name)


@TROUBLES.register("kill-all")
def kill_all(soak: "Soak") -> None:
    """Kills all VMs at once and starts them again."""
    for name in soak.proxies:
        soak.kill(name)
    gevent.sleep(soak.random.uniform(0.5, 1.6))
    for name in soak.proxies:
        soak.start(name)


@TROUBLES.register("pause")
def pause(soak: "Soak") -> None:
    """Stops one VM for some seconds."""
    name = soak.choose_vm()
    soak.note(name, "paused")
    soak.proxies[name].process.signal(signal.SIGSTOP)
    gevent.sleep(soak.random.uniform(0.5, 4.0))
    soak.proxies[name].process.signal(signal.SIGCONT)
    soak.note(name, "resumed")


@TROUBLES.register("reload")
def reload(soak: "Soak") -> None:
    """Sends SIGHUP to all VMs."""
    for name, proxy in soak.proxies.items():
        soak.note(name, "sighup")
        proxy.process.signal(signal.SIGHUP)


@TROUBLES.register("moving-routes")
def moving_routes(soak: "Soak") -> None:
    """Writes configurations in quick succession, which move a route between groups."""
    for _ in range(soak.random.randint(2, 8)):
        soak.configure(soak.random.choice(list(soak.deployment.groups)))
        gevent.sleep(0.21)


@TROUBLES.register("crash")
def crash(soak: "Soak") -> None:
    """Crashes a primary while one of its replicas receives nothing."""
    group = soak.deployment.groups[soak.random.choice(list(soak.deployment.groups))]
    replicas = [target for target in group.targets.values() if not target.primary]
    deaf, primary = soak.random.choice(replicas), group.primary
    deaf.faults.deaf = soak.random.random() < 0.7
    gevent.sleep(soak.random.uniform(0.2, 2.0))
    primary.crash()
    gevent.sleep(soak.random.uniform(1.0, 3.0))
    deaf.faults.deaf = False
    gevent.sleep(1.5)
    soak.revive(primary)


@TROUBLES.register("late-replicas")
def late_replicas(soak: "Soak") -> None:
    """Lets the replicas of all groups apply commits late."""
    lag_s = soak.random.uniform(0.3, 1.5)
    for group in soak.deployment.groups.values():
        group.lag_s = lag_s
    gevent.sleep(soak.random.uniform(1.0, 4.0))
    for group in soak.deployment.groups.values():
        group.lag_s = 0.02


@TROUBLES.register("slow-targets")
def slow_targets(soak: "Soak") -> None:
    """Lets each request of a group take longer."""
    group = soak.deployment.groups[soak.random.choice(list(soak.deployment.groups))]
    for target in group.targets.values():
        target.faults.delay_s = soak.random.uniform(0.02, 0.1)
    gevent.sleep(soak.random.uniform(1.0, 3.0))
    for target in group.targets.values():
        target.faults.delay_s = soak.delay_s


@TROUBLES.register("lost-replies")
def lost_replies(soak: "Soak") -> None:
    """Lets some replies of targets get lost."""
    for group in soak.deployment.groups.values():
        for target in group.targets.values():
            target.faults.lose_replies = soak.random.randint(0, 3)


@TROUBLES.register("store-outage")
def store_outage(soak: "Soak") -> None:
    """Lets the store refuse calls, or take long for each."""
    faults = soak.deployment.platform.faults
    if soak.random.random() < 0.5:
        faults.down = True
    else:
        faults.delay_s = soak.random.uniform(0.1, 0.6)
    gevent.sleep(soak.random.uniform(1.0, 4.0))
    faults.down, faults.delay_s = False, 0.0


@TROUBLES.register("odd-entry")
def odd_entry(soak: "Soak") -> None:
    """Leaves an entry of another writer among the registrations."""
    target = next(iter(soak.deployment.group.targets.values()))
    fields = soak.random.choice(ODD_FIELDS)
    row = soak.deployment.platform.row("servers", target.id)
    assert row is not None
    soak.deployment.platform.put("servers", f"odd{int(time.monotonic())}", {**row.value, **fields})


@TROUBLES.register("replaced-vms")
def replaced_vms(soak: "Soak") -> None:
    """Lists VMs in the directory that do not exist any more."""
    name = next(iter(soak.proxies))
    row = soak.deployment.platform.row("members", name)
    if row is None:
        return
    for _ in range(soak.random.randint(5, 30)):
        vm = f"gone{soak.random.getrandbits(32):x}"
        gone = {"host": "127.0.0.1", "port": soak.random.randint(2000, 60000)}
        value = {**row.value, "vm": vm, "peers": gone, "forwarding": gone}
        soak.deployment.platform.put("members", vm, value)
