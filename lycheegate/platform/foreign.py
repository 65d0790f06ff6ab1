"""Decoding of JSON documents that other systems have written.

Handles documents that are nested too deeply, hold numbers too large for arithmetic with floats, or
are not text. A document that does not match its type raises one kind of error only, so that one
document cannot end a change feed or the processing of other documents.
"""

from typing import Annotated, TypeVar

import msgspec

from lycheegate.utils import exceptions, numbers

__all__ = ["Amount", "SignedAmount", "decode_json"]

Amount = Annotated[int, msgspec.Meta(ge=0, le=numbers.MAX_WHOLE)]
"""Type of a whole number that is not negative."""
SignedAmount = Annotated[int, msgspec.Meta(ge=-numbers.MAX_WHOLE, le=numbers.MAX_WHOLE)]
"""Type of a whole number that may be negative."""

_T = TypeVar("_T")


def decode_json(data: bytes, type_: type[_T], strict: bool = True) -> _T:
    """Decodes a JSON document into a type.

    Args:
        data: The document.
        type_: Type that the document must match.
        strict: Whether numbers in strings are rejected.

    Raises:
        ProtocolError: The document is not text in UTF-8, is malformed or nested too deeply, or
            does not match the type.
    """
    try:
        # msgspec does not check the text of fields that the type does not name.
        return msgspec.json.decode(data.decode(), type=type_, strict=strict)
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        # The text of a decoding error may quote the document, which may be long.
        raise exceptions.ProtocolError(f"{type(error).__name__}: {error!s:.200}") from error
