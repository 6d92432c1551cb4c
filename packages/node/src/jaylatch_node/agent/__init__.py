"""The agent role: one process beside one target."""
