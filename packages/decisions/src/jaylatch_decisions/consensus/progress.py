"""Replication progress of followers, and the values that a quorum has reached."""

from collections import deque

import msgspec

from jaylatch_core.ids import InstanceId, LogIndex

MAX_IN_FLIGHT_BYTES = 1024 * 1024


class Progress(msgspec.Struct):
    """Replication progress of one follower, as the leader knows it.

    ``is_recovering`` is set while the follower may not vote. It may vote again once it holds the
    entry at ``readmit_index``, which was proposed after its ``disk`` was known to be empty.
    """

    next_index: int
    match: int = 0
    acknowledged_round: int = 0
    last_contact_at: float = 0.0
    disk: int = 0
    is_recovering: bool = False
    readmit_index: LogIndex = LogIndex(0)
    is_readmitted: bool = False
    in_flight: deque[tuple[int, int]] = msgspec.field(default_factory=deque)
    in_flight_bytes: int = 0
    chunk_index: int = 0
    chunk_offset: int = 0
    chunk_sent_at: float = float("-inf")

    @property
    def counts_towards_quorum(self) -> bool:
        """Return whether the follower's acknowledgements count towards a quorum."""
        return not self.is_recovering

    def record_sent(self, last_index: int, size: int) -> None:
        """Record a sent batch that ends at ``last_index``."""
        self.next_index = last_index + 1
        self.in_flight.append((last_index, size))
        self.in_flight_bytes += size

    def record_match(self, match: int) -> None:
        """Record that the follower holds the entries up to ``match``."""
        self.match = max(self.match, match)
        self.next_index = max(self.next_index, self.match + 1)
        while self.in_flight and self.in_flight[0][0] <= self.match:
            self.in_flight_bytes -= self.in_flight.popleft()[1]

    def step_back(self, hint: int) -> None:
        """Resend from after ``hint``, except entries that the follower is known to hold."""
        self.next_index = max(hint, self.match) + 1
        self.in_flight.clear()
        self.in_flight_bytes = 0


def quorum_of(voters: tuple[InstanceId, ...]) -> int:
    """Return the size of a majority."""
    return len(voters) // 2 + 1


def reached_by_quorum(values: list[int], voters: tuple[InstanceId, ...]) -> int:
    """Return the highest number that a majority has reached; missing voters count as 0."""
    ordered = sorted(values, reverse=True)
    position = quorum_of(voters) - 1
    return ordered[position] if position < len(ordered) else 0
