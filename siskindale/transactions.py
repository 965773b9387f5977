"""Signed transaction ids, which tell any entry which pool holds the transaction."""

from collections.abc import Sequence

import attrs
from returns.result import Result

from siskindale import signed
from siskindale.models.settings import SessionKey

PURPOSE = "transaction"


@attrs.frozen
class TransactionId:
    """Location of a transaction: boot `boot` of the pool on `vm`, which assigned `number`."""

    group: str
    vm: str
    boot: str
    number: int


def encode(keys: Sequence[SessionKey], transaction: TransactionId) -> str:
    """Returns the id that callers see, signed with the first key and safe in a URL path."""
    return signed.sign_value(keys, PURPOSE, transaction)


def decode(keys: Sequence[SessionKey], text: str) -> Result[TransactionId, str]:
    """Returns the transaction id in a text signed with any of the keys, or fails with a reason."""
    return signed.verify_token(keys, PURPOSE, TransactionId, text)
