"""Decoding of JSON documents that come from outside of the system."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

MAX_INTEGER = 2**63 - 1
"""Largest integer that a message between processes carries in every field."""

Integer = Annotated[int, Meta(ge=-MAX_INTEGER - 1, le=MAX_INTEGER)]
"""An integer that can be passed on in a message."""
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
"""An integer of at least 0 that can be passed on in a message."""

Document = TypeVar("Document")


def decode_json(decoder: msgspec.json.Decoder[Document], data: bytes) -> Document:
    """Return the document in ``data``.

    Raises ``msgspec.DecodeError`` for whatever is not one, too deeply nested values included.
    """
    try:
        return decoder.decode(data)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
