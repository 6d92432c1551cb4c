"""The commands and what they share."""
