"""Replies to calls whose answer takes time."""

from collections.abc import Awaitable
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.messages.frames import Body
from jaylatch_node.streams import StreamConnection


async def reply_with(connection: StreamConnection, call: int, answer: Awaitable[Body]) -> None:
    """Reply to a call once its answer is there."""
    connection.reply(call, await answer)


async def discard(answer: Awaitable[Body]) -> None:
    """Wait for an answer that nobody asked for."""
    await answer


def flatten(result: Result[Any, NotLeader | Unavailable | StorageFailed | Any]) -> Body:
    """Return the value or the failure of a result."""
    body: Body = result.unwrap() if is_successful(result) else result.failure()
    return body
