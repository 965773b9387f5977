"""Callers, fault injection and time limits for the scenarios on a deployment."""

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

# Section 1: a failover takes at most 3 s. Section 5: promotions of a group are 5 s apart.
MAX_FAILOVER_S = 3.0
WRITABLE_TIMEOUT_S = 5.0 + MAX_FAILOVER_S
# Section 1, promise 9.
BUNDLE_TIMEOUT_S = 8.0
# Section 1, promise 7.
LEAVING_GRACE_S = 3.0
DEADLINE_HEADER = "Siskindale-Deadline-Ms"
COUNT_EVENTS = "SELECT ?, COUNT(*) FROM events WHERE uid = ?"


class DeploymentHarness:
    """Deployment with the callers and the fault injector of the scenarios."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.groups_of_first_bundle = cluster.bundle.groups
        self.injector = Injector(cluster)
        self.callers = Callers(cluster.access(), Workload(), Random(1), lambda event: None)
        self._count = 0

    def heal(self):
        """Ends all faults and waits until every program is ready and every group is writable."""
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
        self.cluster.wait_writable(WRITABLE_TIMEOUT_S)
        for database in self.cluster.plan.databases:
            self.wait_accepting_writes(database)

    def _restore_groups(self):
        """Rolls a bundle with the original groups if a scenario has changed them."""
        cluster = self.cluster
        if cluster.bundle.groups != self.groups_of_first_bundle:
            body = attrs.evolve(cluster.bundle, groups=self.groups_of_first_bundle)
            cluster.bundle = cluster.operators.roll(body)

    def session(self, vm="vm1"):
        self._count += 1
        return Session(f"scenario{self._count}", vm)

    def post_statement(
        self, session, database, sql, params, *, access, statement_class, headers=None
    ):
        body = {"sql": sql, "params": params, "access": access, "class": statement_class}
        path = f"/v1/databases/{database}/statements"
        return self.callers.post(session, path, body, headers or {})

    def write(
        self, session, database, uid=None, *, statement_class="revisions", cost_ms=0.0, headers=None
    ):
        params = [uid or session.next_uid(), session.name, session.next_seq(database)]
        sql = schema.with_cost(schema.WRITE_EVENT, cost_ms)
        return self.post_statement(
            session,
            database,
            sql,
            params,
            access="write",
            statement_class=statement_class,
            headers=headers,
        )

    def count_events(self, database, uid):
        """Counts the rows of a write with a strongly consistent read."""
        answer = self.post_statement(
            self.session(),
            database,
            COUNT_EVENTS,
            [uid, uid],
            access="read",
            statement_class="revisions",
        )
        assert answer.outcome == "done", answer
        return answer.cell(1)

    def wait_accepting_writes(self, database):
        wait_until(
            lambda: self.write(self.session(), database).outcome == "done",
            WRITABLE_TIMEOUT_S,
            f"writes to {database} are accepted",
        )

    def wait_other_primary(self, database, old):
        wait_until(
            lambda: self._has_other_primary(database, old), WRITABLE_TIMEOUT_S, f"{old} is replaced"
        )

    def _has_other_primary(self, database, old):
        primary = self.cluster.primary(database)
        return primary is not None and primary.name != old

    def bundle_versions(self):
        """Returns the bundle version in effect in each program, -1 if it does not respond."""
        cluster = self.cluster
        return {vm.process_name(p): cluster.bundle_version(vm, p) for vm, p in cluster.programs()}

    def kill_vm(self, name):
        for program in PROGRAMS:
            self.cluster.processes.get(self.cluster.vms[name].process_name(program)).kill()


def run_concurrently(*calls):
    """Runs the calls concurrently and returns their results in order."""
    greenlets = [gevent.spawn(call) for call in calls]
    gevent.joinall(greenlets, raise_error=True)
    return [greenlet.value for greenlet in greenlets]


def monotonic_s():
    return time.monotonic()
