"""Tests of signed session tokens and transaction ids."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Success

from siskindale import transactions
from siskindale.entry import tokens
from siskindale.models.group import LogPosition
from siskindale.models.session import Session
from siskindale.models.settings import SessionKey
from siskindale.transactions import TransactionId

OLD = SessionKey("2025", "01" * 32)
NEW = SessionKey("2026", "02" * 32)

positions = st.builds(LogPosition, st.integers(0, 2**62), st.integers(0, 2**62))
sessions = st.builds(Session, st.text(), st.dictionaries(st.text(), positions, max_size=20))


@given(sessions)
def test_session_round_trip_across_key_rotation(session: Session) -> None:
    """Guards against a key rotation that invalidates the sessions of callers."""
    token = tokens.encode([OLD], session)
    assert tokens.decode([NEW, OLD], token) == Success(session)


@given(sessions, st.data())
def test_any_changed_character_is_rejected(session: Session, data: st.DataObject) -> None:
    """Guards against a caller that raises, lowers or removes positions in its token."""
    token = tokens.encode([NEW], session)
    index = data.draw(st.integers(0, len(token) - 1))
    other = data.draw(st.characters(min_codepoint=0, max_codepoint=255))
    changed = token[:index] + other + token[index + 1 :]
    decoded = tokens.decode([NEW], changed)
    assert not is_successful(decoded) or decoded == Success(session)


@given(st.text(max_size=200))
def test_arbitrary_text_is_rejected_without_an_exception(text: str) -> None:
    """Guards against a malformed header that raises in a request handler."""
    assert not is_successful(tokens.decode([NEW], text))
    assert not is_successful(transactions.decode([NEW], text))


def test_transaction_id_is_not_a_session_token() -> None:
    """Guards against a signed text of one kind that is accepted as another."""
    text = transactions.encode([NEW], TransactionId("survey", "vm1", "ab", 7))
    assert transactions.decode([NEW], text) == Success(TransactionId("survey", "vm1", "ab", 7))
    assert not is_successful(tokens.decode([NEW], text))


@pytest.mark.parametrize("keys", [[NEW], []])
def test_unknown_key_is_rejected(keys: list[SessionKey]) -> None:
    """Guards against a removed key that still verifies."""
    assert not is_successful(tokens.decode(keys, tokens.encode([OLD], Session("club"))))
