"""What the scenarios on a deployment share: callers, faults, and waiting with a bound."""

import signal
import time
from random import Random

import attrs
import gevent

from bench import schema
from bench.callers import Callers, Session
from bench.cluster import PROGRAMS
from bench.experiment import Workload
from bench.faults import Injector
from bench.processes import wait_until

# Section 1: failover is at most 3 s; section 5: promotions of a group are 5 s apart.
FAILOVER_S = 3.0
WRITABLE_S = 5.0 + FAILOVER_S
# Section 1, promise 9.
BUNDLE_S = 8.0
# Section 1, promise 7.
LEAVING_S = 3.0
DEADLINE_MS = "Siskindale-Deadline-Ms"
COUNT = "SELECT ?, COUNT(*) FROM events WHERE uid = ?"


class Field:
    """A deployment with the callers and faults of the scenarios."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.groups_of_first_bundle = cluster.bundle.groups
        self.injector = Injector(cluster)
        self.callers = Callers(cluster.access(), Workload(), Random(1), lambda event: None)
        self._count = 0

    def heal(self):
        """Ends all faults and waits until every program and group is at work."""
        self.injector.heal()
        for vm, program in self.cluster.programs():
            process = self.cluster.processes.get(vm.process_name(program))
            process.signal(signal.SIGCONT)
            if not process.running:
                self.cluster.start_program(vm, program)
        self._restore_groups()
        self.cluster.live = set(self.cluster.vms)
        self.cluster.publish_live()
        for name in self.cluster.vms:
            self.cluster.wait_ready(name)
        self.cluster.wait_writable(WRITABLE_S)
        for database in self.cluster.plan.databases:
            self.wait_accepting_writes(database)

    def _restore_groups(self):
        """Takes targets back that left by a bundle."""
        cluster = self.cluster
        if cluster.bundle.groups != self.groups_of_first_bundle:
            body = attrs.evolve(cluster.bundle, groups=self.groups_of_first_bundle)
            cluster.bundle = cluster.operators.roll(body)

    def session(self, vm="vm1"):
        self._count += 1
        return Session(f"scenario{self._count}", vm)

    def statement(self, session, database, sql, params, *, access, kind, headers=None):
        body = {"sql": sql, "params": params, "access": access, "class": kind}
        path = f"/v1/databases/{database}/statements"
        return self.callers.post(session, path, body, headers or {})

    def write(self, session, database, uid=None, *, kind="revisions", cost_ms=0.0, headers=None):
        params = [uid or session.next_uid(), session.name, session.next_seq(database)]
        sql = schema.with_cost(schema.WRITE_EVENT, cost_ms)
        return self.statement(
            session, database, sql, params, access="write", kind=kind, headers=headers
        )

    def count(self, database, uid):
        """Returns how often a write is in the database, by a strongly consistent read."""
        answer = self.statement(
            self.session(), database, COUNT, [uid, uid], access="read", kind="revisions"
        )
        assert answer.outcome == "done", answer
        return answer.cell(1)

    def wait_accepting_writes(self, database):
        wait_until(
            lambda: self.write(self.session(), database).outcome == "done",
            WRITABLE_S,
            f"writes to {database} are accepted",
        )

    def wait_other_primary(self, database, old):
        wait_until(lambda: self._replaced(database, old), WRITABLE_S, f"{old} is replaced")

    def _replaced(self, database, old):
        primary = self.cluster.primary(database)
        return primary is not None and primary.name != old

    def versions(self):
        """Returns the version in effect in each program, -1 where it does not respond."""
        cluster = self.cluster
        return {vm.process_name(p): cluster.bundle_version(vm, p) for vm, p in cluster.programs()}

    def kill_vm(self, name):
        for program in PROGRAMS:
            self.cluster.processes.get(self.cluster.vms[name].process_name(program)).kill()


def together(*calls):
    """Runs calls at once and returns their results in order."""
    greenlets = [gevent.spawn(call) for call in calls]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def now():
    return time.monotonic()
