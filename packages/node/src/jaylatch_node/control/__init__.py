"""The control role: the replicated logs, the leader's duties, and the clients of both."""
