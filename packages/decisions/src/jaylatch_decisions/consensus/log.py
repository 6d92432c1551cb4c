"""In-memory log of a voter: the latest snapshot and the entries after a base index."""

from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import LogEntry, Snapshot

RETAINED_ENTRIES = 256
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 256 * 1024


class RaftLog:
    """The snapshot and the entries after the base, which is at most the snapshot's index.

    Some entries before the snapshot are retained, so that a voter that lags slightly needs no
    snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self._snapshot = snapshot
        self._base = snapshot.index
        self._base_term = snapshot.term
        self._entries = list(entries)
        self._voter_entries = [entry for entry in entries if entry.voters]

    @property
    def snapshot(self) -> Snapshot:
        """Return the latest snapshot."""
        return self._snapshot

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self._base + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def size(self) -> int:
        """Return the number of entries in memory."""
        return len(self._entries)

    @property
    def voters(self) -> tuple[InstanceId, ...]:
        """Return the latest set of voters, committed or not."""
        return self._voter_entries[-1].voters if self._voter_entries else self._snapshot.voters

    @property
    def mentioned_voters(self) -> frozenset[InstanceId]:
        """Return all instances that were voters in the snapshot or in an entry after it."""
        sets = (entry.voters for entry in self._voter_entries)
        return frozenset(self._snapshot.voters).union(*sets)

    @property
    def voters_index(self) -> LogIndex:
        """Return the index of the entry that set the voters."""
        return self._voter_entries[-1].index if self._voter_entries else self._snapshot.index

    def term_at(self, index: int) -> Term | None:
        """Return the term of the entry at ``index``, or None if it is not in memory."""
        if index == self._base:
            return self._base_term
        if self._base < index <= self.last_index:
            return self._entries[index - self._base - 1].term
        return None

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Return the entries with ``after`` < index <= ``last``."""
        return self._entries[max(after - self._base, 0) : max(last - self._base, 0)]

    def batch(self, after: int, budget: int) -> tuple[LogEntry, ...]:
        """Return entries after ``after`` within ``budget`` bytes, but at least one."""
        chosen: list[LogEntry] = []
        budget = min(budget, MAX_BATCH_BYTES)
        for entry in self.between(after, after + MAX_BATCH_ENTRIES):
            budget -= len(entry.command)
            if chosen and budget < 0:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, entry: LogEntry) -> None:
        """Append an entry, replacing all entries from its index on."""
        if entry.index <= self.last_index:
            del self._entries[entry.index - self._base - 1 :]
            self._voter_entries = [kept for kept in self._voter_entries if kept.index < entry.index]
        self._entries.append(entry)
        if entry.voters:
            self._voter_entries.append(entry)

    def first_of_term(self, index: int, limit: int) -> int:
        """Return the first index after ``limit`` of the run of one term that ends at ``index``."""
        term = self.term_at(index)
        while index - 1 > limit and self.term_at(index - 1) == term:
            index -= 1
        return index

    def compact(self, index: LogIndex, data: bytes) -> Snapshot:
        """Make the state machine's ``data`` as of ``index`` the snapshot; drop old entries."""
        voters = self._voters_at(index)
        term = self.term_at(index)
        assert term is not None
        self._snapshot = Snapshot(index, term, voters, data)
        new_base = index - RETAINED_ENTRIES
        if new_base > self._base:
            self._base_term = self.term_at(new_base) or self._base_term
            del self._entries[: new_base - self._base]
            self._base = LogIndex(new_base)
        self._voter_entries = [entry for entry in self._voter_entries if entry.index > index]
        return self._snapshot

    def install(self, snapshot: Snapshot) -> list[LogEntry]:
        """Replace the log up to the snapshot; returns the retained entries after it.

        Entries after it are retained if the log agrees with the snapshot, as this voter may have
        acknowledged them.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        kept = self.between(snapshot.index, self.last_index) if agrees else []
        self.__init__(snapshot, kept)  # type: ignore[misc]
        return kept

    def _voters_at(self, index: int) -> tuple[InstanceId, ...]:
        voters = self._snapshot.voters
        for entry in self._voter_entries:
            if entry.index <= index:
                voters = entry.voters
        return voters
