"""Control instances that have been seen lately, with and without a vote.

Answers the load of a roll: the instances that the settings name may all be without a vote and may
all have restarted, so that none of them knows a voter. The leader therefore calls every control
instance that it has seen, and the other voters keep its list for the case that one of them is
elected.
"""

from collections.abc import Iterable

from jaylatch_core.control_peers import ControlPeer

RETENTION_TIME = 600.0
"""Seconds for which an instance is kept after it was last seen."""


class KnownInstances:
    """The control instances that have renewed a lease, or that the leader has named."""

    def __init__(self) -> None:
        self._seen_at: dict[ControlPeer, float] = {}

    def record(self, now: float, peer: ControlPeer) -> None:
        """Record that an instance is running."""
        self._seen_at[peer] = now

    def replace(self, now: float, peers: Iterable[ControlPeer]) -> None:
        """Take over the list of the leader."""
        self._seen_at = dict.fromkeys(peers, now)

    def list(self, now: float) -> tuple[ControlPeer, ...]:
        """Return the instances that are not forgotten yet, and forget the others."""
        oldest = now - RETENTION_TIME
        self._seen_at = {peer: at for peer, at in self._seen_at.items() if at >= oldest}
        return tuple(self._seen_at)
