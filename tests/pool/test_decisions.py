"""Tests of single pool decisions, each with the failure that it prevents."""

import attrs
import pytest

from siskindale.models.outcomes import Outcome, RefusalKind
from siskindale.models.wire import StatementRequest
from siskindale.pool.effects import (
    BundleAdopted,
    ConnectionFailed,
    DirectoryChanged,
    RequestArrived,
)
from siskindale.pool.stages import Phase
from siskindale.pool.systems import acknowledgement, admission, connections, discovery, freshness
from siskindale.pool.systems import idempotency as keyed
from siskindale.pool.tables import QueueRow
from siskindale.targets.interface import TargetError, TargetFailure
from tests.pool.oracle import SentRequest
from tests.pool.world import CLASSES, TargetCall, World


@pytest.fixture
def world() -> World:
    """Returns a world with one pool over a group with a primary."""
    return World(pools=1)


def refusal(sent: SentRequest) -> RefusalKind | None:
    """Returns why a request was refused, None if it was not."""
    found = sent.answer.refusal if sent.answer else None
    return found.kind if found else None


def outcome(sent: SentRequest) -> Outcome | None:
    """Returns the outcome of a request, None while it is open."""
    return sent.answer.outcome if sent.answer else None


def change_classes(world: World, **changes: object) -> None:
    """Adopts a bundle with the given changes to all classes."""
    classes = tuple(attrs.evolve(c, **changes) for c in CLASSES)
    world.tick(0, BundleAdopted(attrs.evolve(world.bundle, classes=classes)))


def running_batches(world: World) -> list[TargetCall]:
    """Returns the batches that are in flight."""
    return [c for c in world.calls if hasattr(c.effect, "steps")]


def test_share_covers_the_limit_and_is_never_empty() -> None:
    """Guards against pools that together exceed a target's limit, or a pool without a slot."""
    assert [connections.pool_share(16, 3, rank) for rank in range(3)] == [6, 5, 5]
    assert connections.pool_share(1, 2, 1) == 1


def test_minimum_share_under_overload(world: World) -> None:
    """Guards against starvation of low classes while higher ones have work."""
    queues = [QueueRow(attrs.evolve(c, min_share=0.1)) for c in CLASSES]
    world.write(0, 0)
    request = next(iter(world.pools[0].requests.values()))
    served = []
    for queue in queues:
        queue.queued_count = 1000
    for _ in range(100):
        for queue in queues:
            request.phase = Phase.QUEUED
            queue.heap = [(0.0, 0, request)]
        chosen = admission.choose_queue(queues)
        assert chosen is not None
        admission.pop_request(queues, chosen)
        served.append(chosen.statement_class.name)
    assert served.count("filings") > 75
    assert served.count("revisions") >= 8 and served.count("browsing") >= 8


def test_queue_is_bounded(world: World) -> None:
    """Guards against memory and waiting times that grow without bound."""
    change_classes(world, queue_limit=3)
    sent = [world.write(0, 0) for _ in range(10)]
    assert [refusal(a) for a in sent].count(RefusalKind.OVERLOADED) == 10 - 2 - 3


def test_hopeless_request_is_refused_early(world: World) -> None:
    """Guards against requests that wait until a deadline that they cannot meet."""
    world.pools[0].groups["g"].primary.service_time_s = 1.0  # type: ignore[union-attr]
    sent = [world.write(0, 0) for _ in range(20)]
    refused = [a.answer.refusal for a in sent if a.answer and a.answer.refusal]
    assert refused and all(r.kind is RefusalKind.OVERLOADED for r in refused)
    assert all(r.retry_after_ms and r.retry_after_ms >= 1000 for r in refused)


def test_caller_limit(world: World) -> None:
    """Guards against a caller that takes all slots, and against a count that never decreases."""
    callers = tuple(attrs.evolve(c, max_in_flight=2) for c in world.bundle.callers)
    world.tick(0, BundleAdopted(attrs.evolve(world.bundle, callers=callers)))
    sent = [world.write(0, 0) for _ in range(3)]
    assert refusal(sent[2]) is RefusalKind.OVERLOADED
    world.run(0.2)
    again = world.write(0, 0)
    world.run(0.2)
    assert outcome(again) is Outcome.DONE


def test_copies_and_late_requests_are_dropped(world: World) -> None:
    """Guards against a delayed duplicate of a request that runs a second time."""
    first = world.write(0, 0)
    world.run(0.2)
    body = world.statement_request(world.sessions[0], "write", first.attempt, "WRITE", ("w", "r"))
    world.tick(0, RequestArrived(body, SentRequest(world.sessions[0], "write"), 0.0))
    late = attrs.evolve(body, request_id="late")
    world.tick(0, RequestArrived(late, SentRequest(world.sessions[0], "write"), 2.0))
    assert not running_batches(world)


def test_wrong_pool_and_excluded_pools(world: World) -> None:
    """Guards against excess pools that exceed limits, and against a first pool that is down."""
    ranks = {"g": ("vm7", "vm8", "vm0")}
    world.tick(0, DirectoryChanged(ranks, frozenset()))
    sent = world.read(0, 0)
    assert refusal(sent) is RefusalKind.WRONG_POOL
    body = world.statement_request(world.sessions[0], "read", "x", "READ", ())
    body = attrs.evolve(body, excluded_pools=("vm7",))
    accepted = SentRequest(world.sessions[0], "read", request_id="x")
    world.tick(0, RequestArrived(body, accepted, 0.0))
    world.run(1.0)
    assert outcome(accepted) is Outcome.DONE


def test_degraded_mode(world: World) -> None:
    """Guards against new or queued work under a bundle that may have been replaced."""
    world.pools[0].groups["g"].writable = False
    queued = world.write(0, 0)
    world.pools[0].degraded = True
    world.pools[0].groups["g"].writable = True
    world.advance(1.0)
    world.run(0.3)
    plain, filing = world.write(0, 0), world.write(0, 0, key=True)
    begun, read = world.begin(0, 0), world.read(0, 0, 1000.0)
    world.run(0.5)
    assert [refusal(a) for a in (queued, plain, begun)] == [RefusalKind.BUNDLE_NOT_CONFIRMED] * 3
    assert outcome(filing) is outcome(read) is Outcome.DONE
    assert read.answer is not None and read.answer.role == "primary"


def test_leaving_targets_get_no_new_work(world: World) -> None:
    """Guards against new work on a target that is about to be shut down."""
    world.tick(0, DirectoryChanged(world.pools[0].ranks, frozenset({"a", "b"})))
    reads = [world.read(0, 0, 1000.0) for _ in range(8)]
    world.run(0.2)
    assert {a.answer.target for a in reads if a.answer and a.answer.role == "replica"} == {"c"}
    world.run(connections.LEAVING_PRIMARY_GRACE_S)
    held = world.write(0, 0)
    world.run(0.3)
    assert outcome(held) is None
    assert not world.pools[0].groups["g"].targets["a"].open_connections


def test_drain_refuses_new_work_and_ends_open_transactions(world: World) -> None:
    """Guards against a restart that cuts off requests, and against a drain that never ends."""
    begun, queued = world.begin(0, 0), world.write(0, 1)
    world.run(0.05)
    world.pools[0].draining = True
    assert refusal(world.write(0, 0)) is RefusalKind.SHUTTING_DOWN
    statement = world.in_transaction(begun, "statement")
    world.run(0.05)
    commit = world.in_transaction(begun, "commit")
    world.run(0.3)
    assert [outcome(a) for a in (queued, statement, commit)] == [Outcome.DONE] * 3
    assert not world.pools[0].requests and not world.pools[0].transactions


def test_idle_transaction_ends_and_frees_its_lock(world: World) -> None:
    """Guards against callers that hold a connection and locks forever."""
    begun = world.begin(0, 0)
    world.run(0.1)
    world.run(5.2)
    assert refusal(world.in_transaction(begun, "statement")) is RefusalKind.UNKNOWN_TRANSACTION
    later = world.write(0, 0)
    world.run(0.3)
    assert outcome(later) is Outcome.DONE


def test_second_statement_of_a_transaction_is_refused(world: World) -> None:
    """Guards against concurrent statements on one connection."""
    begun = world.begin(0, 0)
    world.run(0.1)
    world.in_transaction(begun, "statement")
    assert refusal(world.in_transaction(begun, "commit")) is RefusalKind.TRANSACTION_BUSY


def test_pruned_and_expired_keys_do_not_run(world: World) -> None:
    """Guards against a late retry that runs again because its key was pruned."""
    change_classes(world, key_retention_s=3)
    first = world.write(0, 0, "filing", key=True)
    world.run(0.3)
    assert refusal(first) is None
    world.run(3.0)
    expired = world.write(0, 0, "filing", key=True)
    assert refusal(expired) is RefusalKind.KEY_EXPIRED
    tables = world.pools[0]
    tables.wall_clock_offset_s += 100.0
    world.run(keyed.PRUNE_INTERVAL_S + 2)
    change_classes(world, key_retention_s=10_000)
    pruned = world.write(0, 0, "filing", key=True)
    world.run(0.3)
    assert refusal(pruned) is RefusalKind.KEY_EXPIRED
    assert outcome(pruned) is Outcome.NOT_RUN


def test_marker_needs_both_voter_sets(world: World) -> None:
    """Guards against a term whose marker the previous voters do not hold."""
    group = world.pools[0].groups["g"]
    group.voters, group.previous_voters = ("a", "b"), ("a", "c", "d")
    group.marker_position = group.targets["a"].matched_position
    group.targets["c"].matched_position = -1
    assert not acknowledgement.marker_confirmed(group)
    group.targets["c"].matched_position = group.marker_position
    assert acknowledgement.marker_confirmed(group)


def test_announcement_only_triggers_a_poll(world: World) -> None:
    """Guards against a pool that trusts a controller's announcement instead of the targets."""
    group = world.pools[0].groups["g"]
    world.calls.clear()
    for target in group.targets.values():
        target.poll_in_flight = False
    discovery.primary_announced(world.pools[0], group, 99, world.now)
    world.advance(discovery.UNSETTLED_POLL_INTERVAL_S)
    assert len(world.calls) == 3
    assert group.term == 1


def test_token_of_a_later_term_waits_for_it(world: World) -> None:
    """Guards against a read from a primary that lacks the caller's write."""
    session = world.sessions[0]
    session.position = attrs.evolve(session.position, term=2)
    read = world.read(0, 0)
    world.run(0.3)
    assert outcome(read) is None
    world.promote("abc")
    world.run(0.5)
    assert outcome(read) is Outcome.DONE


def test_faulty_requests(world: World) -> None:
    """Guards against keys without a timestamp, and a 404 for what a newer bundle has added."""
    body = world.statement_request(world.sessions[0], "write", "x", "WRITE", ("w", "x"))
    cases: dict[RefusalKind, StatementRequest] = {
        RefusalKind.MALFORMED: attrs.evolve(body, key="no-uuid"),
        RefusalKind.KEY_REQUIRED: attrs.evolve(body, statement_class="filings", request_id="y"),
        RefusalKind.UNKNOWN_DATABASE: attrs.evolve(body, group="other", request_id="z"),
        RefusalKind.UNAVAILABLE: attrs.evolve(body, group="new", request_id="n", bundle_version=2),
    }
    for kind, case in cases.items():
        sent = SentRequest(world.sessions[0], "write", request_id=case.request_id)
        world.tick(0, RequestArrived(case, sent, 0.0))
        assert refusal(sent) is kind


def test_too_large_results_are_refused(world: World) -> None:
    """Guards against one result that exhausts the memory for all other results."""
    tables = world.pools[0]
    for _ in range(3):
        world.write(0, 0)
        world.run(0.1)
    tables.settings = attrs.evolve(
        tables.settings, pool=attrs.evolve(tables.settings.pool, max_result_bytes=20)
    )
    read = world.read(0, 0)
    world.run(0.2)
    assert refusal(read) is RefusalKind.TOO_LARGE


def test_proved_age_of_a_lagging_replica(world: World) -> None:
    """Guards against an age below the true one, and against too few samples for a long lag."""
    group = world.pools[0].groups["g"]
    group.samples.clear()
    for second in range(1500):
        freshness.add_sample(group, 1, 100 + second, world.now + second / 100)
    freshness.add_sample(group, 1, 0, world.now + 15.0)
    now = world.now + 15.0
    assert freshness.age_bound_s(group, 100 + 600, now) == pytest.approx(9.0)
    assert freshness.age_bound_s(group, 1598, now) == pytest.approx(0.02, abs=1e-6)
    assert freshness.age_bound_s(group, 99, now) is None


def test_reads_pass_writes_that_wait_for_a_lock(world: World) -> None:
    """Guards against an idle transaction that blocks all reads of its group."""
    begun = world.begin(0, 0)
    world.run(0.1)
    writes = [world.write(0, 1) for _ in range(4)]
    read = world.read(0, 0)
    world.run(0.2)
    assert outcome(begun) is outcome(read) is Outcome.DONE
    assert [outcome(write) for write in writes] == [None] * 4
    world.in_transaction(begun, "commit")
    world.run(0.3)
    assert [outcome(write) for write in writes] == [Outcome.DONE] * 4


def test_ended_request_of_a_later_term_stays_ended(world: World) -> None:
    """Guards against a second answer to a request that expired while its term was unknown."""
    world.write(0, 0)
    request = next(iter(world.pools[0].requests.values()))
    group = world.pools[0].groups["g"]
    group.unconfirmed_of_later_terms.append(request)
    world.advance(2.5)
    assert request.phase is Phase.ENDED
    assert acknowledgement.take_unconfirmed(group) == []
    assert not group.unconfirmed_of_later_terms


def test_request_is_refused_where_other_pools_hold_all_connections(world: World) -> None:
    """Guards against requests that wait until the deadline at a substitute without connections."""
    tables = world.pools[0]
    primary = tables.groups["g"].primary
    assert primary is not None
    for connection in list(primary.open_connections.values()):
        connections.close(tables, connection)
    sent = world.write(0, 0)
    assert outcome(sent) is None
    error = TargetError(TargetFailure.LIMIT, "all connections are in use")
    primary.opening_connections += 1
    world.tick(0, ConnectionFailed(primary, error))
    assert refusal(sent) is RefusalKind.UNAVAILABLE


def test_draining_pool_frees_its_idle_connections(world: World) -> None:
    """Guards against a successor that gets no connection because the draining pool holds them."""
    tables = world.pools[0]
    world.write(0, 0)
    busy = [c for c in tables.connections.values() if c.busy]
    tables.draining = True
    tables.mark_dirty(tables.groups["g"])
    world.tick(0)
    assert busy and list(tables.connections.values()) == busy


def test_a_substitute_drops_the_group_after_its_time(world: World) -> None:
    """Guards against connections that a substitute keeps from the pools that serve the group."""
    tables = world.pools[0]
    group = tables.groups["g"]
    group.rank = None
    group.substitute_rank, group.substitute_until = 0, world.now + 1.0
    world.advance(0.5)
    assert "g" in tables.groups
    world.advance(3.0)
    assert "g" not in tables.groups
    assert group.dropped
