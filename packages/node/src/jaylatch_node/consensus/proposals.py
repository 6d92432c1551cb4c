"""Commands that wait to be committed."""

from asyncio import Future, get_running_loop
from typing import Generic, TypeVar

from returns.result import Failure as Err
from returns.result import Result, Success

from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import LogEntry

T = TypeVar("T")
ProposalResult = Result[T, NotLeader | Unavailable | StorageFailed]


class Proposals(Generic[T]):
    """The proposals of one log, by the index at which they may commit."""

    def __init__(self) -> None:
        self._waiting: dict[LogIndex, tuple[Term, Future[ProposalResult[T]]]] = {}

    def add(self, term: Term, index: LogIndex) -> "Future[ProposalResult[T]]":
        """Return the future result of the command at ``index``, if it commits in ``term``."""
        future: Future[ProposalResult[T]] = get_running_loop().create_future()
        self._waiting[index] = (term, future)
        return future

    def resolve(self, entry: LogEntry, outcome: T | None, leader: InstanceId) -> None:
        """Answer the proposal at the index of a committed entry, if one waits."""
        term, future = self._waiting.pop(entry.index, (None, None))
        if future is None or future.done():
            return
        if term != entry.term:
            replaced = NotLeader("an entry of another leader replaced the command; retry", leader)
            future.set_result(Err(replaced))
        else:
            # A change of voters has no result of the state machine.
            future.set_result(Success(outcome))  # type: ignore[arg-type]

    def fail(self, failure: StorageFailed | Unavailable) -> None:
        """Answer all proposals with ``failure``."""
        for _, future in self._waiting.values():
            if not future.done():
                future.set_result(Err(failure))
        self._waiting.clear()
