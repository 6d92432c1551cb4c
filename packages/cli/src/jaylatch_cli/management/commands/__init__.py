"""One module per command, each with a class ``Command``."""
