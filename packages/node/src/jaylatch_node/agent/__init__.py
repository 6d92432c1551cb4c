"""The agent role, which runs on the same instance as its target."""
