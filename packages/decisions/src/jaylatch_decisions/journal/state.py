"""Replicated state of one shard of the order journal.

At any time, at most one attempt may run an order. A claim is released only with proof that its
attempt did not run and never will; without proof the order becomes UNKNOWN and remains so unless
its answer arrives late.
"""

from zlib import crc32

import msgspec

from jaylatch_core.enums import ClaimVerdict, OrderState
from jaylatch_core.ids import AttemptId, Incarnation, InstanceId
from jaylatch_core.messages.journal import (
    AbandonOrder,
    ClaimOrder,
    CompleteOrder,
    DispatchOrder,
    JournalCommand,
    LookupOrder,
    OrderName,
    OrderVerdict,
    ReleaseOrder,
    StoredAnswer,
)
from jaylatch_decisions.journal.retention import (
    DEFAULT_RETENTION,
    RetentionQueue,
    RetentionSnapshot,
    RetentionTimes,
)


class _OrderRecord(msgspec.Struct):
    digest: str
    state: OrderState
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    address: str
    answer: StoredAnswer | None = None


class _Snapshot(msgspec.Struct):
    orders: list[tuple[OrderName, _OrderRecord]]
    retention: RetentionSnapshot


def shard_of(order: OrderName, shards: int) -> int:
    """Return the number of the journal shard that holds ``order``."""
    return crc32(f"{order.account}\0{order.key}".encode()) % shards


class JournalState:
    """The orders of one shard. ``apply`` is deterministic."""

    def __init__(self, times: RetentionTimes = DEFAULT_RETENTION) -> None:
        self._times = times
        self._orders: dict[OrderName, _OrderRecord] = {}
        self._retention = RetentionQueue()

    @property
    def size(self) -> int:
        """Return the number of stored orders."""
        return len(self._orders)

    def dump(self) -> bytes:
        """Return the complete state as bytes for a snapshot."""
        return msgspec.msgpack.encode(_Snapshot(list(self._orders.items()), self._retention.dump()))

    @classmethod
    def load(cls, data: bytes, times: RetentionTimes = DEFAULT_RETENTION) -> "JournalState":
        """Decode the result of ``dump``. Raises ``msgspec.DecodeError`` for other bytes."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        state = cls(times)
        state._orders = dict(snapshot.orders)
        state._retention = RetentionQueue(snapshot.retention)
        return state

    def apply(self, command: JournalCommand) -> OrderVerdict:
        """Apply a committed command and return the resulting state of its order."""
        match command:
            case ClaimOrder():
                self._expire(command.at)
                return self._claim(command)
            case LookupOrder():
                return self._lookup(command)
            case DispatchOrder():
                return self._dispatch(command)
            case ReleaseOrder():
                return self._release(command)
            case CompleteOrder():
                self._expire(command.at)
                return self._complete(command)
            case AbandonOrder():
                return self._abandon(command)

    def _claim(self, command: ClaimOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            record = _OrderRecord(
                command.digest,
                OrderState.CLAIMED,
                command.attempt,
                command.instance,
                command.incarnation,
                command.clock,
                command.address,
            )
            self._orders[command.order] = record
        if record.digest != command.digest:
            return _verdict(ClaimVerdict.KEY_REUSED, record)
        return _verdict_for(record, command.attempt)

    def _lookup(self, command: LookupOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _no_claim(ClaimVerdict.ABSENT, AttemptId(""))
        if record.digest != command.digest:
            return _verdict(ClaimVerdict.KEY_REUSED, record)
        return _verdict_for(record, AttemptId(""))

    def _dispatch(self, command: DispatchOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _no_claim(ClaimVerdict.ABSENT, command.attempt)
        if _is_held(record, command.attempt):
            record.instance = command.instance
            record.incarnation = command.incarnation
            record.clock = command.clock
            record.address = command.address
        return _verdict_for(record, command.attempt)

    def _release(self, command: ReleaseOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _no_claim(ClaimVerdict.ABSENT, command.attempt)
        if not _is_held(record, command.attempt) or record.incarnation != command.incarnation:
            return _verdict_for(record, AttemptId(""))
        del self._orders[command.order]
        return _verdict(ClaimVerdict.ABSENT, record)

    def _complete(self, command: CompleteOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _no_claim(ClaimVerdict.ABSENT, command.attempt)
        # An answer is proof that the attempt ran, so it also ends the UNKNOWN state.
        if record.attempt == command.attempt and record.state is not OrderState.COMPLETED:
            record.state = OrderState.COMPLETED
            record.answer = command.answer
            self._retention.add(command.order)
        return _verdict_for(record, command.attempt)

    def _abandon(self, command: AbandonOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _no_claim(ClaimVerdict.ABSENT, command.attempt)
        if _is_held(record, command.attempt) and record.incarnation == command.incarnation:
            record.state = OrderState.UNKNOWN
        return _verdict_for(record, command.attempt)

    def _expire(self, at: float) -> None:
        """Drop expired answers, and later their keys."""
        self._retention.advance(at)
        for order in self._retention.take_answers(self._times):
            self._orders[order].answer = None
        for order in self._retention.take_keys(self._times):
            del self._orders[order]


def _is_held(record: _OrderRecord, attempt: AttemptId) -> bool:
    return record.state is OrderState.CLAIMED and record.attempt == attempt


def _verdict_for(record: _OrderRecord, attempt: AttemptId) -> OrderVerdict:
    match record.state:
        case OrderState.COMPLETED if record.answer is None:
            return _verdict(ClaimVerdict.EXPIRED, record)
        case OrderState.COMPLETED:
            return _verdict(ClaimVerdict.COMPLETED, record)
        case OrderState.UNKNOWN:
            return _verdict(ClaimVerdict.UNKNOWN, record)
    is_holder = record.attempt == attempt
    return _verdict(ClaimVerdict.GRANTED if is_holder else ClaimVerdict.IN_PROGRESS, record)


def _verdict(verdict: ClaimVerdict, record: _OrderRecord) -> OrderVerdict:
    return OrderVerdict(
        verdict,
        record.attempt,
        record.instance,
        record.incarnation,
        record.clock,
        record.answer,
        record.address,
    )


def _no_claim(verdict: ClaimVerdict, attempt: AttemptId) -> OrderVerdict:
    return OrderVerdict(verdict, attempt, InstanceId(""), Incarnation(""), 0.0)
