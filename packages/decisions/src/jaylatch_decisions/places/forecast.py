"""Forecast of the times at which places of a model become free.

Load pattern: a burst of some seconds beyond what the groups serve. Whether a waiting request can be
in time depends on the next few places that become free, so the forecast uses the expected end of
each request in flight and no mean rate.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence
from heapq import heapreplace

OVERDUE_FRACTION = 0.2
"""Part of its service time within which an overdue request is expected to end."""
MIN_SLOTS = 0.01
"""Slots that are always taken to be left for a rank, so that shares of them are defined."""


class PlaceForecast:
    """The places of a model. ``free_times`` has the time at which each becomes free.

    Times in the past are of requests that are overdue. These end one after the other within a
    fraction of ``service_time``, the mean of the requests: the expected times of many requests err
    in both directions, so some of the overdue ones end at every moment.
    ``slots`` is the number of places that more urgent requests leave in the long run, of which
    accounts have their shares.
    """

    def __init__(
        self, now: float, free_times: Sequence[float], slots: float, service_time: float = 0.0
    ) -> None:
        times = sorted(free_times)
        overdue = bisect_left(times, now)
        spread = service_time * OVERDUE_FRACTION
        times[:overdue] = [now + spread * n / overdue for n in range(1, overdue + 1)]
        self._free_times = sorted(times)
        self._slots = slots
        self._running = sum(times) - now * len(times)

    @property
    def size(self) -> int:
        """Return the number of places."""
        return len(self._free_times)

    @property
    def slots(self) -> float:
        """Return the number of places to share; 0 without targets."""
        return max(self._slots, MIN_SLOTS) if self._free_times else 0.0

    @property
    def running(self) -> float:
        """Return the seconds of work that requests in flight had left at first."""
        return self._running

    def start_times(self, now: float, works: Sequence[float]) -> Iterator[float]:
        """Yield when requests of these works start, in turn."""
        if self._are_taken_in_turn(works):
            for time in self._free_times[: len(works)]:
                yield time if time > now else now
            return
        # A sorted list is a heap.
        times = list(self._free_times)
        for work in works:
            start = max(times[0], now)
            heapreplace(times, start + work)
            yield start

    def after(self, now: float, works: Sequence[float], slots: float) -> "PlaceForecast":
        """Return the forecast for requests that follow those of these works."""
        times = list(self._free_times)
        if self._are_taken_in_turn(works):
            taken = zip(times, works, strict=False)
            times = times[len(works) :] + [max(time, now) + work for time, work in taken]
        elif times:
            for work in works:
                heapreplace(times, max(times[0], now) + work)
        return PlaceForecast(now, times, slots)

    def _are_taken_in_turn(self, works: Sequence[float]) -> bool:
        """Return whether no request ends before the last one of them starts.

        Each then gets the next place; it is so but for long queues before few places.
        """
        times = self._free_times
        if len(works) > len(times):
            return False
        return not works or times[0] + min(works) >= times[len(works) - 1]

    def occupy(self, now: float, work: float) -> None:
        """Count a request that has just got the place that became free."""
        if self._free_times:
            del self._free_times[0]
            insort(self._free_times, now + work)

    def first_free(self, now: float) -> float:
        """Return the seconds until a place is free."""
        return max(self._free_times[0] - now, 0.0) if self._free_times else 0.0
