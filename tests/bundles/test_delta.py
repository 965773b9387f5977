"""Tests of deltas between bundle bodies."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from siskindale.bundles import delta, signing
from tests.bundles.test_following import Deployment
from tests.fakes.settings import bundle, signed


@given(st.binary(max_size=2000), st.binary(max_size=2000))
def test_delta_gives_the_new_body(previous: bytes, content: bytes) -> None:
    """Guards against a body that differs after encoding and applying a delta."""
    assert delta.apply(previous, delta.encode(previous, content)).unwrap() == content


def test_delta_of_consecutive_bundles_is_small() -> None:
    """Guards against deltas that carry the whole body."""
    first, second = (signing.canonical_json(signed(bundle(version))) for version in (1, 2))
    assert len(delta.encode(first, second)) < len(second) / 2


def test_malformed_delta_is_refused() -> None:
    """Guards against an exception for a corrupted object."""
    valid_delta = delta.encode(b"first body", b"second body")
    assert isinstance(delta.apply(b"first body", b"not zstandard"), Failure)
    assert isinstance(delta.apply(b"first body", valid_delta[:-3]), Failure)


def roll_with_delta(deployment: Deployment, base: bytes | None = None) -> None:
    """Rolls version 1, and version 2 with a delta from `base` or from version 1."""
    deployment.roll(1)
    deployment.poll_and_fetch(0)
    first, second = (signing.canonical_json(signed(bundle(version))) for version in (1, 2))
    encoded_delta = delta.encode(first if base is None else base, second)
    deployment.platform.objects[signing.digest_of(encoded_delta)] = encoded_delta
    deployment.roll(2, delta=signing.digest_of(encoded_delta))


def test_follower_applies_a_delta_without_reading_the_body() -> None:
    """Guards against reading whole bodies, which would exceed a node's traffic budget."""
    deployment = Deployment(vms=1)
    roll_with_delta(deployment)
    del deployment.platform.objects[signing.digest_of(signing.canonical_json(signed(bundle(2))))]
    deployment.poll_and_fetch(0)
    assert deployment.followers[0].current == bundle(2)


def test_follower_reads_the_body_when_the_delta_does_not_apply() -> None:
    """Guards against an unusable delta that keeps a program on the old bundle."""
    deployment = Deployment(vms=1)
    roll_with_delta(deployment, base=signing.canonical_json(signed(bundle(7))))
    deployment.poll_and_fetch(0)
    assert deployment.followers[0].current == bundle(2)


def test_program_that_missed_a_version_reads_the_body() -> None:
    """Guards against applying a delta to a body other than the one it was made from."""
    deployment = Deployment(vms=2)
    roll_with_delta(deployment)
    deployment.poll_and_fetch(1)
    assert deployment.followers[1].current == bundle(2)
