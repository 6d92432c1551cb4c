"""Typed messages of the streams between jaylatch processes and of the replicated logs."""
