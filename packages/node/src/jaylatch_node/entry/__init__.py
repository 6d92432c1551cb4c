"""The entry role: faces callers and operators."""
