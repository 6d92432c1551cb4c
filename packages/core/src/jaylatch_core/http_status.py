"""Status codes of HTTP responses (RFC 9110, section 15)."""

INTERIM = range(100, 200)
FINAL = range(200, 600)


def is_interim(status: int) -> bool:
    """Return whether another response to the same request follows."""
    return status in INTERIM


def is_final(status: int) -> bool:
    """Return whether the status is that of an answer; other numbers are no status codes."""
    return status in FINAL
