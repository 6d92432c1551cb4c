"""Judges from the merged time line what was in force at any instant, at any process."""

from typing import Any

import msgspec


class NodePeriods(msgspec.Struct):
    """What one process acted under: generations with the times (seconds) at which they came."""

    prepared: dict[int, float] = {}
    changed: dict[int, float] = {}
    configurations: list[int] = []
    held: list[float] = []
    lapsed: list[float] = []


class GenerationVerifier:
    """Reads the events of all processes, which must run on one machine's clock."""

    def __init__(self, events: list[Any]) -> None:
        self._nodes: dict[str, NodePeriods] = {}
        for event in events:
            self._take(event)

    @property
    def presets(self) -> set[int]:
        """Return the preset generations that came into force at some process."""
        return {number for node in self._nodes.values() for number in node.changed}

    @property
    def configurations(self) -> set[int]:
        """Return the configuration generations that came into force at some process."""
        return {number for node in self._nodes.values() for number in node.configurations}

    def outdated_presets(self) -> list[str]:
        """Return a sentence for each process that acted under an older preset alone.

        When the first process acts under a new preset alone, each other one has prepared it, which
        means that it acts under the stricter of both, or holds no lease.
        """
        faults = []
        for number in sorted(self.presets):
            switched_at = min(
                node.changed[number] for node in self._nodes.values() if number in node.changed
            )
            faults += [
                f"{name} acted under an older preset when generation {number} came into force"
                for name, node in self._nodes.items()
                if _holds_lease(node, switched_at) and not _knows(node, number, switched_at)
            ]
        return faults

    def reversed_generations(self) -> list[str]:
        """Return a sentence for each process at which a generation went back."""
        faults = []
        for name, node in self._nodes.items():
            for numbers in (list(node.changed), node.configurations):
                if numbers != sorted(numbers):
                    faults.append(f"{name} acted under {numbers}")
        return faults

    def _take(self, event: Any) -> None:
        node = self._nodes.setdefault(event["node"], NodePeriods())
        match event["name"]:
            case "preset.prepared":
                node.prepared.setdefault(int(event["detail"]), event["at"])
            case "preset.changed":
                node.changed.setdefault(int(event["detail"]), event["at"])
            case "configuration.changed":
                node.configurations.append(int(event["detail"]))
            case "lease.held":
                node.held.append(event["at"])
            case "lease.lapsed":
                node.lapsed.append(float(event["detail"]))


def _holds_lease(node: NodePeriods, at: float) -> bool:
    held_at = max((time for time in node.held if time <= at), default=None)
    return held_at is not None and not any(held_at <= time <= at for time in node.lapsed)


def _knows(node: NodePeriods, number: int, at: float) -> bool:
    known = [*node.prepared.items(), *node.changed.items()]
    return any(item >= number and time <= at for item, time in known)
