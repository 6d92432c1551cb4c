"""Times at which control probes targets that gateways suspect.

Load pattern: many gateways suspect one target at the same moment, and again in each interval in
which it sends nothing. A target is probed once in an interval. A suspicion that comes within the
interval, but after the last probe has ended, is news: it is probed at the end of the interval.
Without that, gateways whose reports come slightly early would be heard every other time only.
"""

from collections.abc import Iterable

from jaylatch_core.ids import InstanceId

PROBE_INTERVAL = 0.4
"""Seconds between two rounds of probes of one target; each probe has a cost."""


class ProbeSchedule:
    """The targets that are being probed, were probed lately, or are to be probed next."""

    def __init__(self) -> None:
        self._probed_at: dict[InstanceId, float] = {}
        self._running: set[InstanceId] = set()
        self._pending: set[InstanceId] = set()

    def request(self, now: float, instances: Iterable[InstanceId]) -> list[InstanceId]:
        """Return those of ``instances`` that must be probed now, and remember the others."""
        due = []
        for instance in instances:
            if now >= self._probed_at.get(instance, -PROBE_INTERVAL) + PROBE_INTERVAL:
                self._probed_at[instance] = now
                self._running.add(instance)
                self._pending.discard(instance)
                due.append(instance)
            elif instance not in self._running:
                self._pending.add(instance)
        return due

    def take_due(self, now: float) -> list[InstanceId]:
        """Return the remembered targets whose interval has ended, to be probed now."""
        oldest = now - PROBE_INTERVAL
        self._probed_at = {item: at for item, at in self._probed_at.items() if at > oldest}
        return self.request(now, tuple(self._pending - self._probed_at.keys()))

    def record_end(self, instance: InstanceId) -> None:
        """Record that the probe of a target has ended."""
        self._running.discard(instance)
