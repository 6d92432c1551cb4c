"""Ids, messages, settings and failures shared by all jaylatch packages."""
