"""Replicated state of one shard of the order journal.

An order has at most one attempt that may run at any time. A claim is given up only with proof that
its attempt did not run and never will; without proof the order becomes UNKNOWN for good.
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
    OrderName,
    OrderVerdict,
    ReleaseOrder,
    StoredAnswer,
)


class _OrderRecord(msgspec.Struct):
    digest: str
    state: OrderState
    attempt: AttemptId
    instance: InstanceId
    incarnation: Incarnation
    clock: float
    answer: StoredAnswer | None = None


def shard_of(order: OrderName, shards: int) -> int:
    """Return the number of the journal shard that holds ``order``."""
    return crc32(f"{order.account}\0{order.key}".encode()) % shards


class JournalState:
    """The orders of one shard. ``apply`` is deterministic."""

    def __init__(self) -> None:
        self._orders: dict[OrderName, _OrderRecord] = {}

    @property
    def size(self) -> int:
        """Return the number of orders on record."""
        return len(self._orders)

    def apply(self, command: JournalCommand) -> OrderVerdict:
        """Carry out a committed command and return what is then on record."""
        match command:
            case ClaimOrder():
                return self._claim(command)
            case DispatchOrder():
                return self._dispatch(command)
            case ReleaseOrder():
                return self._release(command)
            case CompleteOrder():
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
            )
            self._orders[command.order] = record
        if record.digest != command.digest:
            return _verdict(ClaimVerdict.KEY_REUSED, record)
        return _verdict_for(record, command.attempt)

    def _dispatch(self, command: DispatchOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _lost_claim(command.attempt)
        if _is_held(record, command.attempt):
            record.instance = command.instance
            record.incarnation = command.incarnation
            record.clock = command.clock
        return _verdict_for(record, command.attempt)

    def _release(self, command: ReleaseOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is not None and _is_held(record, command.attempt):
            del self._orders[command.order]
            return _verdict(ClaimVerdict.GRANTED, record)
        if record is None:
            return _lost_claim(command.attempt)
        return _verdict_for(record, command.attempt)

    def _complete(self, command: CompleteOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _lost_claim(command.attempt)
        # An answer is proof that the attempt ran, so it also ends the UNKNOWN state.
        if record.attempt == command.attempt and record.state is not OrderState.COMPLETED:
            record.state = OrderState.COMPLETED
            record.answer = command.answer
        return _verdict_for(record, command.attempt)

    def _abandon(self, command: AbandonOrder) -> OrderVerdict:
        record = self._orders.get(command.order)
        if record is None:
            return _lost_claim(command.attempt)
        if _is_held(record, command.attempt):
            record.state = OrderState.UNKNOWN
        return _verdict_for(record, command.attempt)


def _is_held(record: _OrderRecord, attempt: AttemptId) -> bool:
    return record.state is OrderState.CLAIMED and record.attempt == attempt


def _verdict_for(record: _OrderRecord, attempt: AttemptId) -> OrderVerdict:
    match record.state:
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
    )


def _lost_claim(attempt: AttemptId) -> OrderVerdict:
    return OrderVerdict(ClaimVerdict.IN_PROGRESS, attempt, InstanceId(""), Incarnation(""), 0.0)
