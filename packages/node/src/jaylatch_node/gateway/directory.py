"""Direct targets to which this process may send requests, according to the granted view."""

from dataclasses import dataclass

from jaylatch_core.ids import InstanceId
from jaylatch_core.messages.membership import GroupProgress, View
from jaylatch_decisions.targets import TargetLoad


@dataclass
class KnownTarget:
    """A target's address and load."""

    address: str
    load: TargetLoad
    service: str


class TargetDirectory:
    """Targets by service, and by model where the service has engines."""

    def __init__(self) -> None:
        self._view: View | None = None
        self._targets: dict[InstanceId, KnownTarget] = {}
        self._by_service: dict[str, list[TargetLoad]] = {}
        self._by_model: dict[tuple[str, str], list[TargetLoad]] = {}
        self._unlisted: dict[InstanceId, TargetLoad] = {}
        self._open: set[InstanceId] = set()

    @property
    def addresses(self) -> set[str]:
        """Return the addresses of all targets."""
        return {target.address for target in self._targets.values()}

    @property
    def instances(self) -> set[InstanceId]:
        """Return all targets."""
        return set(self._targets)

    def update(self, view: View) -> set[InstanceId]:
        """Use the targets of ``view``; return the heads that no longer serve their groups.

        The known load of a target is kept while its address and epoch are the same. The head of a
        group that was ending is not returned, because it finishes its remaining work.
        """
        if view is self._view:
            return set()
        serving = {(route.head, route.epoch) for route in view.groups}
        lost = {
            route.head
            for route in (self._view.groups if self._view is not None else ())
            if (route.head, route.epoch) not in serving and not route.is_ending
        }
        self._view = view
        old, self._targets = self._targets, {}
        self._by_service, self._by_model = {}, {}
        self._open = set()
        for group in view.groups:
            if group.service:
                load = TargetLoad(
                    group.head,
                    group.slots,
                    group.failure_domain,
                    group=group.group,
                    epoch=group.epoch,
                    is_cold=group.is_cold,
                )
                known = self._add(old, group.address, load, group.service)
                if not group.is_ending and group.failure_domain not in view.evacuated:
                    self._by_model.setdefault((group.service, group.model), []).append(known.load)
                    self._open.add(group.head)
        for service in view.services:
            if service.slots and service.failure_domain not in view.evacuated:
                load = TargetLoad(
                    service.instance,
                    service.slots,
                    service.failure_domain,
                    is_cold=service.is_cold,
                )
                known = self._add(old, service.address, load, service.service)
                self._by_service.setdefault(service.service, []).append(known.load)
                self._open.add(service.instance)
        return lost

    def candidates(self, service: str, model: str | None) -> list[TargetLoad]:
        """Return the targets that can serve a request."""
        if model is None:
            return self._by_service.get(service, [])
        return self._by_model.get((service, model), [])

    def takes_requests(self, instance: InstanceId) -> bool:
        """Return whether the view lists the target for new requests."""
        return instance in self._open

    def progress_since(self, since: float, now: float) -> tuple[GroupProgress, ...]:
        """Return the groups that have sent part of an answer since ``since``."""
        self._unlisted = {
            instance: load for instance, load in self._unlisted.items() if load.progress_at > since
        }
        listed = [known.load for known in self._targets.values()]
        return tuple(
            GroupProgress(load.group, load.epoch, now - load.progress_at)
            for load in (*listed, *self._unlisted.values())
            if load.group and load.progress_at > since
        )

    def note_unlisted(self, load: TargetLoad) -> None:
        """Include a target that the view no longer contains while it sends parts of answers."""
        self._unlisted[load.instance] = load

    def address(self, instance: InstanceId) -> str | None:
        """Return the address of a target, or None if the view no longer contains it."""
        known = self._targets.get(instance)
        return known.address if known is not None else None

    def service(self, instance: InstanceId) -> str:
        """Return the service of a target, or an empty text if the view does not contain it."""
        known = self._targets.get(instance)
        return known.service if known is not None else ""

    def _add(
        self,
        old: dict[InstanceId, KnownTarget],
        address: str,
        load: TargetLoad,
        service: str,
    ) -> KnownTarget:
        known = old.get(load.instance)
        if known is None or known.address != address or known.load.epoch != load.epoch:
            known = KnownTarget(address, load, service)
        # The slots change while load returns to a domain that was evacuated, and while it is cold.
        known.load.slots, known.load.is_cold = load.slots, load.is_cold
        self._targets[load.instance] = known
        return known
