"""Decoding of JSON that another program has written."""

from typing import Any, TypeVar

import msgspec

from anvilhall.exceptions import MalformedData

_Decoded = TypeVar('_Decoded')


def decode_json(encoded: bytes | str, kind: type[_Decoded] | Any) -> _Decoded:
    """Decode JSON of any content.

    :param kind: type to decode into.
    :raises MalformedData: if the text is not JSON, is nested too deeply or does
        not have that type.
    """
    try:
        return msgspec.json.decode(encoded, type=kind)
    except (ValueError, OverflowError, RecursionError) as error:
        raise MalformedData(str(error)) from error
