"""Session tokens: the positions that a caller has seen, signed by the entry, kept by the caller."""

from collections.abc import Sequence

from returns.result import Result

from siskindale import signed
from siskindale.models.session import Session
from siskindale.models.settings import SessionKey

PURPOSE = "session"


def encode(keys: Sequence[SessionKey], session: Session) -> str:
    """Returns the token of a session, signed with the first key."""
    return signed.sign_value(keys, PURPOSE, session)


def decode(keys: Sequence[SessionKey], text: str) -> Result[Session, str]:
    """Returns the session of a token signed with any of the keys; fails with a reason."""
    return signed.verify_token(keys, PURPOSE, Session, text)
