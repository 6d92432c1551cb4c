"""Changes of the voters of a replicated log by its leader."""

from asyncio import sleep
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result

from jaylatch_core.clock import monotonic
from jaylatch_core.exceptions import NotLeader, StorageFailed, Unavailable
from jaylatch_core.ids import InstanceId
from jaylatch_node.consensus.replicated_log import ReplicatedLog

CATCH_UP_POLL_INTERVAL = 0.02
"""Seconds between two checks whether a joining voter has caught up."""

VoterChangeResult = Result[None, NotLeader | Unavailable | StorageFailed]


async def change_voters(
    log: ReplicatedLog[Any], voters: tuple[InstanceId, ...], timeout: float
) -> VoterChangeResult:
    """Add or remove one voter. A joining voter catches up as a learner first."""
    deadline = monotonic() + timeout
    for joining in set(voters) - set(log.voters):
        added = log.add_learner(joining)
        if not is_successful(added):
            return added
        while not log.is_caught_up(joining):
            if monotonic() > deadline or not log.is_leader:
                return Err(
                    Unavailable(
                        f"instance {joining!r} did not catch up with the log within {timeout} s"
                    )
                )
            await sleep(CATCH_UP_POLL_INTERVAL)
    return await log.propose_voters(voters)
