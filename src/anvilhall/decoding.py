"""Decoding of JSON that another program has written."""

import re
from typing import TypeVar

import msgspec

from anvilhall.exceptions import MalformedData

#: Depth of nesting down to which :func:`flatten_json` keeps a document.
_MAX_DEPTH = 64
#: Strings and brackets; brackets within strings are no nesting.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}]', re.DOTALL)
_Decoded = TypeVar('_Decoded')


def decode_json(encoded: bytes | str, kind: type[_Decoded]) -> _Decoded:
    """Decode JSON of any content.

    :param kind: type to decode into.
    :raises MalformedData: if the text is not JSON, is nested too deeply or does
        not have that type.
    """
    try:
        return msgspec.json.decode(encoded, type=kind)
    except (ValueError, OverflowError, RecursionError) as error:
        raise MalformedData(str(error)) from error


def decode_items(encoded: bytes, kind: type[_Decoded]) -> _Decoded:
    """Decode JSON whose parts were written by several programs.

    What is nested too deeply is decoded as ``null``, so that it does not make
    the other parts unreadable.

    :raises MalformedData: as :func:`decode_json`.
    """
    try:
        return decode_json(encoded, kind)
    except MalformedData as error:
        if not isinstance(error.__cause__, RecursionError):
            raise
    return decode_json(flatten_json(encoded), kind)


def flatten_json(encoded: bytes) -> bytes:
    """Return JSON with ``null`` in place of all that is nested too deeply."""
    kept: list[bytes] = []
    depth = 0
    start = 0
    for token in _TOKENS.finditer(encoded):
        if token.group() in {b'[', b'{'}:
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept.extend((encoded[start : token.start()], b'null'))
                start = len(encoded)
        elif token.group() in {b']', b'}'}:
            if depth == _MAX_DEPTH + 1:
                start = token.end()
            depth -= 1
    kept.append(encoded[start:])
    return b''.join(kept)
