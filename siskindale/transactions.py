"""Signed ids of transactions: any entry finds the pool that holds the transaction."""

from collections.abc import Sequence

import attrs
from returns.result import Result

from siskindale import signed
from siskindale.models.settings import SessionKey

PURPOSE = "transaction"


@attrs.frozen
class TransactionId:
    """Place of a transaction: the pool of `vm` in the start `boot`; `number` counts there."""

    group: str
    vm: str
    boot: str
    number: int


def encode(keys: Sequence[SessionKey], transaction: TransactionId) -> str:
    """Returns the text that callers see, signed with the first key; safe in a URL path."""
    return signed.seal(keys, PURPOSE, transaction)


def decode(keys: Sequence[SessionKey], text: str) -> Result[TransactionId, str]:
    """Returns the id of a text that any of the keys signed; fails with a reason."""
    return signed.unseal(keys, PURPOSE, TransactionId, text)
