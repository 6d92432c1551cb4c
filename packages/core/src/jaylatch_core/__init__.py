"""Ids, messages, settings and errors shared by every jaylatch package."""
