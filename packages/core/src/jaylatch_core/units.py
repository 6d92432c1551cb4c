"""Number types of settings and configuration, each with its unit and bounds."""

from typing import Annotated

from msgspec import Meta

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE

SECONDS = {"unit": "seconds"}
BYTES = {"unit": "bytes"}

Interval = Annotated[float, Meta(gt=0, le=60, extra=SECONDS)]
"""A period or timeout of background work. Above 60 s, the unit of the value is likely wrong."""

Duration = Annotated[float, Meta(gt=0, le=86_400, extra=SECONDS)]
"""A retention time or a waiting time."""

Seconds = Annotated[float, Meta(extra=SECONDS)]
"""A time whose bounds are checked with its document."""

Size = Annotated[int, Meta(ge=KIBIBYTE, le=1024 * MEBIBYTE, extra=BYTES)]
"""A limit on memory use."""
