"""The entry role: serves the HTTP APIs of callers and operators."""
