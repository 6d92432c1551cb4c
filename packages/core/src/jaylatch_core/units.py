"""Types of numbers in settings and configuration: each carries its unit and its bounds."""

from typing import Annotated

from msgspec import Meta

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE

SECONDS = {"unit": "seconds"}
BYTES = {"unit": "bytes"}

Interval = Annotated[float, Meta(gt=0, le=60, extra=SECONDS)]
"""A period of background work, or a timeout of it: above 60 s it is a value in a wrong unit."""

Duration = Annotated[float, Meta(gt=0, le=86_400, extra=SECONDS)]
"""A time for which something is kept or waited for."""

Seconds = Annotated[float, Meta(extra=SECONDS)]
"""A time whose bounds are checked where its document is."""

Size = Annotated[int, Meta(ge=KIBIBYTE, le=1024 * MEBIBYTE, extra=BYTES)]
"""A bound of memory."""
