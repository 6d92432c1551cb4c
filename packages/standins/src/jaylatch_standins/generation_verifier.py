"""Verification, from the merged timeline, of the generations in force at each process."""

from typing import Any

import msgspec


class NodeHistory(msgspec.Struct):
    """Generations and leases of one process, with the times (seconds) of their events."""

    prepared: dict[int, float] = {}
    changed: dict[int, float] = {}
    configurations: list[int] = []
    held: list[float] = []
    lapsed: list[float] = []


class GenerationVerifier:
    """Checks the events of all processes, which must share one machine's clock."""

    def __init__(self, events: list[Any]) -> None:
        self._nodes: dict[str, NodeHistory] = {}
        for event in events:
            self._add_event(event)

    @property
    def presets(self) -> set[int]:
        """Return the preset generations that came into force at any process."""
        return {number for node in self._nodes.values() for number in node.changed}

    @property
    def configurations(self) -> set[int]:
        """Return the configuration generations that came into force at any process."""
        return {number for node in self._nodes.values() for number in node.configurations}

    def outdated_presets(self) -> list[str]:
        """Describe each process that applied only an older preset when a new one came into force.

        When the first process applies a new preset alone, every other process must have prepared
        it, so that it applies the stricter of both, or must hold no lease.
        """
        violations = []
        for number in sorted(self.presets):
            switched_at = min(
                node.changed[number] for node in self._nodes.values() if number in node.changed
            )
            violations += [
                f"{name} applied only an older preset when generation {number} came into force"
                for name, node in self._nodes.items()
                if _held_lease(node, switched_at) and not _had_prepared(node, number, switched_at)
            ]
        return violations

    def reversed_generations(self) -> list[str]:
        """Describe each process at which a generation decreased."""
        violations = []
        for name, node in self._nodes.items():
            for numbers in (list(node.changed), node.configurations):
                if numbers != sorted(numbers):
                    violations.append(f"generations decreased at {name}: {numbers}")
        return violations

    def _add_event(self, event: Any) -> None:
        node = self._nodes.setdefault(event["node"], NodeHistory())
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


def _held_lease(node: NodeHistory, at: float) -> bool:
    held_at = max((time for time in node.held if time <= at), default=None)
    return held_at is not None and not any(held_at <= time <= at for time in node.lapsed)


def _had_prepared(node: NodeHistory, number: int, at: float) -> bool:
    known = [*node.prepared.items(), *node.changed.items()]
    return any(item >= number and time <= at for item, time in known)
