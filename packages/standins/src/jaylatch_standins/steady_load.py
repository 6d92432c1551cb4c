"""A constant, bounded load of completions for fault tests."""

from asyncio import Task, create_task, gather, sleep
from itertools import count

from jaylatch_standins.caller import Caller, CallerOutcome
from jaylatch_standins.deployment import ACCOUNT_KEYS, MODEL

CALL_PAUSE = 0.05
"""Seconds between an answer and the next call of a caller."""
CALL_TIMEOUT = 10.0
"""Seconds."""


class SteadyLoad:
    """``callers`` concurrent callers, each of which requests one completion after another."""

    def __init__(self, entries: list[str], callers: int, tokens: int) -> None:
        self._callers = [
            Caller(entries[number % len(entries)], ACCOUNT_KEYS["skarvik"])
            for number in range(callers)
        ]
        self._tokens = tokens
        self._is_stopped = False
        self._tasks: list[Task[None]] = []
        self._numbers = count()
        self.outcomes: list[CallerOutcome] = []

    def start(self) -> None:
        """Start all callers."""
        self._tasks = [create_task(self._run(caller)) for caller in self._callers]

    async def stop(self) -> None:
        """Stop all callers and wait for their last answers."""
        self._is_stopped = True
        await gather(*self._tasks)

    async def _run(self, caller: Caller) -> None:
        while not self._is_stopped:
            prompt = f"prompt {next(self._numbers)}"
            self.outcomes.append(
                await caller.complete(
                    MODEL, prompt, self._tokens, is_streamed=True, timeout=CALL_TIMEOUT
                )
            )
            await sleep(CALL_PAUSE)
