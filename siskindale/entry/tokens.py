"""Session tokens: the positions a caller has seen, signed and kept by the caller."""

from collections.abc import Sequence

from returns.result import Result

from siskindale import signed
from siskindale.models.session import Session
from siskindale.models.settings import SessionKey

PURPOSE = "session"


def encode(keys: Sequence[SessionKey], session: Session) -> str:
    """Returns the token of a session, signed with the first key."""
    return signed.seal(keys, PURPOSE, session)


def decode(keys: Sequence[SessionKey], text: str) -> Result[Session, str]:
    """Returns the session of a token that any of the keys signed; fails with a reason."""
    return signed.unseal(keys, PURPOSE, Session, text)
