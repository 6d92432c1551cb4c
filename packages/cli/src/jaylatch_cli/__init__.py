"""The operators' command line, a client of the administration API."""
