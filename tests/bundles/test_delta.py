"""Deltas between bundle bodies."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure

from siskindale.bundles import delta, signing
from tests.fakes.settings import bundle, signed


@given(st.binary(max_size=2000), st.binary(max_size=2000))
def test_delta_gives_the_new_body(previous: bytes, content: bytes) -> None:
    """Guards against a body that changes on its way."""
    assert delta.apply(previous, delta.encode(previous, content)).unwrap() == content


def test_delta_of_consecutive_bundles_is_small() -> None:
    """Guards against deltas that carry the whole body."""
    first, second = (signing.canonical(signed(bundle(version))) for version in (1, 2))
    assert len(delta.encode(first, second)) < len(second) / 2


def test_malformed_delta_is_refused() -> None:
    """Guards against a program that stops at a damaged object."""
    good = delta.encode(b"first body", b"second body")
    assert isinstance(delta.apply(b"first body", b"not zstandard"), Failure)
    assert isinstance(delta.apply(b"first body", good[:-3]), Failure)
