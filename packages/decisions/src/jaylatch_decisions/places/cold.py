"""Bound on the requests to targets that may be cold, kept by the owner of their places.

Load pattern: targets that have just started get the requests of all gateways at once, among them
those of callers that return, while owners restart, change or are two at once. The rule is on what
arrives in any second, so a window with exact times is kept instead of a bucket, whose burst would
add to its rate.

Only the control leader grants requests to cold targets, since there is at most one at a time. It
takes the last window before its term as used. Others grant a part of the bound for targets that are
known to be warm by recent evidence of their own. Warm targets are held to the bound too, as a
report that one has become cold comes late. Times are seconds of the monotonic clock.
"""

from collections import deque
from collections.abc import Collection
from math import floor

from jaylatch_core.ids import InstanceId, Term
from jaylatch_core.messages.places import PlaceCandidate
from jaylatch_core.settings import ColdSettings

RULE_SECONDS = 1.0
"""Seconds of the window for which the rule bounds the requests that arrive."""
GRANT_VALIDITY = 0.06
"""Seconds from the question of a gateway until it must have begun to send the request."""
TRANSIT_JITTER = 0.04
"""Seconds by which the times from a gateway to a target may differ."""
WINDOW_SECONDS = RULE_SECONDS + GRANT_VALIDITY + TRANSIT_JITTER
"""Requests that are granted within this time may arrive within one second. 1 / 1.1 of the bound is
usable."""
UNLED_FRACTION = 0.5
"""Fraction of the bound that is granted for a target known to be warm by an owner that does not
lead, or does not know the requests of the last window."""
IDLE_RETENTION = 60.0
"""Seconds after the last grant for a target at which it is forgotten."""
RATE_RETENTION = 10.0
"""Seconds after which a cold rate is forgotten that no gateway has stated again."""
EVIDENCE_VALIDITY = 2.0
"""Seconds for which a sign of a warm target shows that it has not started anew: longer than a
heartbeat interval, shorter than the restart of a target at its place."""
COLD_RETENTION = 2.0
"""Seconds for which a target counts as cold after a gateway has said so: the views of the others
are older by a renewal at most."""


def cold_bound(settings: ColdSettings, cold_rate: float) -> float:
    """Return the number of requests that a cold target may get in any second."""
    return cold_rate * settings.overage + settings.slack


def unshared_bound(settings: ColdSettings, cold_rate: float, is_known_warm: bool) -> float:
    """Return the bound of which a gateway that no owner answers may use its equal part.

    ``is_known_warm``: an answer to this gateway within ``EVIDENCE_VALIDITY`` shows that the target
    runs, and nothing that it is cold. Any other target gets nothing: an owner may grant all of the
    bound to other gateways, and what is left beside it is less than one request for each gateway.
    """
    return cold_bound(settings, cold_rate) if is_known_warm else 0.0


class GrantWindow:
    """Times of the requests that were granted within a window."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def wait(self, now: float, bound: float) -> float:
        """Return the seconds until a request may be granted, 0 if one may be granted now.

        A bound below one request a second allows one in a correspondingly longer window.
        """
        limit = max(floor(bound), 1)
        span = WINDOW_SECONDS / min(bound, 1.0)
        times = self._times
        while times and times[0] <= now - span:
            times.popleft()
        return times[-limit] + span - now if len(times) >= limit else 0.0

    def take(self, now: float) -> None:
        """Count a request that is granted now."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of requests that were granted within the last window."""
        return sum(time > now - WINDOW_SECONDS for time in self._times)

    def is_idle(self, now: float) -> bool:
        """Return whether requests were granted, all of them before the retention time."""
        return bool(self._times) and self._times[-1] <= now - IDLE_RETENTION


class ColdLimits:
    """The bounds of all targets of services with a cold rate, at one owner."""

    def __init__(self, settings: ColdSettings) -> None:
        self._settings = settings
        self._term: Term | None = None
        self._complete_from = 0.0
        self._is_leading = False
        self._known_warm: frozenset[InstanceId] = frozenset()
        self._windows: dict[InstanceId, GrantWindow] = {}
        self._cold_until: dict[InstanceId, float] = {}
        self._rates: dict[InstanceId, tuple[float, float]] = {}

    @property
    def is_leading(self) -> bool:
        """Return whether this process leads, as far as it was told."""
        return self._is_leading

    def begin_term(self, now: float, term: Term) -> None:
        """Record that this process leads; a new term begins as if the last window was used."""
        if term != self._term:
            self._term = term
            self._complete_from = now + WINDOW_SECONDS

    def set_state(self, is_leading: bool, known_warm: Collection[InstanceId]) -> None:
        """Record, for the next calls, whether this process leads and which targets are warm.

        The latter are known to be warm by heartbeats within ``EVIDENCE_VALIDITY``.
        """
        self._is_leading = is_leading
        self._known_warm = frozenset(known_warm)

    def record(self, now: float, candidate: PlaceCandidate) -> None:
        """Record the cold rate of a target, and that a gateway takes it for cold.

        A gateway that states none may have an older deployment than the others.
        """
        if candidate.cold_rate:
            self._rates[candidate.instance] = (candidate.cold_rate, now + RATE_RETENTION)
        if candidate.cold_rate and candidate.is_cold:
            self._cold_until[candidate.instance] = now + COLD_RETENTION

    def wait(self, now: float, instance: InstanceId) -> float:
        """Return the seconds until the target may get a request, 0 if it may get one now."""
        bound = self._bound(now, instance)
        if bound is None:
            return 0.0
        is_complete = self._is_leading and now >= self._complete_from
        if not is_complete:
            if instance not in self._known_warm or now < self._cold_until.get(instance, 0.0):
                return self._complete_from - now if self._is_leading else WINDOW_SECONDS
            bound *= UNLED_FRACTION
        window = self._windows.get(instance)
        return window.wait(now, bound) if window is not None else 0.0

    def take(self, now: float, instance: InstanceId) -> None:
        """Count a request to the target."""
        if self._bound(now, instance) is None:
            return
        window = self._windows.get(instance)
        if window is None:
            window = self._windows[instance] = GrantWindow()
            self._forget_old(now)
        window.take(now)

    def used(self, now: float, instance: InstanceId) -> float:
        """Return the part of its bound that a target got in the last window."""
        window, bound = self._windows.get(instance), self._bound(now, instance)
        return window.count(now) / bound if window is not None and bound is not None else 0.0

    def _bound(self, now: float, instance: InstanceId) -> float | None:
        """Return the requests that the target may get in a second, None if there is no bound."""
        rate, until = self._rates.get(instance, (0.0, 0.0))
        return cold_bound(self._settings, rate) if now < until else None

    def _forget_old(self, now: float) -> None:
        self._windows = {
            instance: window
            for instance, window in self._windows.items()
            if not window.is_idle(now)
        }
        self._rates = {instance: rate for instance, rate in self._rates.items() if rate[1] > now}
        self._cold_until = {
            instance: until for instance, until in self._cold_until.items() if until > now
        }
