"""One module for each command; its class is called ``Command``."""
