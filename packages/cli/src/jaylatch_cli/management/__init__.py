"""The commands and their base class."""
