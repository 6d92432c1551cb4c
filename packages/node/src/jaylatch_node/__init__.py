"""The jaylatch daemon."""
