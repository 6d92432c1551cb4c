"""Orders to drain, from a process that may stand still while it handles one."""

from collections.abc import Awaitable, Callable

from msgspec.structs import replace
from returns.pipeline import is_successful

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import GenerationConflict
from jaylatch_core.messages.control import DrainGeneration, ReadDrainGeneration, SetDrain
from jaylatch_core.messages.frames import Body
from jaylatch_node.control.client import CONTROL_LOG, ControlClient


async def order_drain(
    client: ControlClient,
    order: SetDrain,
    is_caller_waiting: Callable[[], Awaitable[bool]],
    timeout: float,
) -> Body | None:
    """Give the leader an order; return its answer, None without one in ``timeout`` seconds.

    The generation of the drains is read first and stated in the order. If this process or a link
    stands still after that, the order has no effect beside a later one. If it stands still before,
    the caller does not wait any more, or the time is over.
    """
    deadline = monotonic() + timeout
    while (left := deadline - monotonic()) > 0:
        read = await client.call(CONTROL_LOG, ReadDrainGeneration(), left)
        known = read.unwrap() if is_successful(read) else None
        if not isinstance(known, DrainGeneration):
            return known
        if not await is_caller_waiting() or (left := deadline - monotonic()) <= 0:
            return None
        result = await client.call(CONTROL_LOG, replace(order, expected=known.generation), left)
        answer = result.unwrap() if is_successful(result) else None
        if not isinstance(answer, GenerationConflict):
            return answer
    return None
