"""Renewal of this process's lease, and publication of its grants on the blackboard."""

import logging
from asyncio import Event, create_task
from collections.abc import Callable

import msgspec
from returns.pipeline import is_successful

from jaylatch_core.clock import monotonic, wall
from jaylatch_core.deployment import DeploymentNumber
from jaylatch_core.enums import Role
from jaylatch_core.event_names import EventName
from jaylatch_core.ids import Generation, PromptPartId
from jaylatch_core.messages.deployment_changes import DeploymentChange, unpack_change
from jaylatch_core.messages.membership import GroupProgress, LeaseGrant, MemberReport, RenewLease
from jaylatch_core.settings import LeaseSettings
from jaylatch_decisions.control import apply_change
from jaylatch_node.blackboard import Blackboard
from jaylatch_node.control.client import CONTROL_LOG, ControlClient
from jaylatch_node.deadlines import time_limit

_log = logging.getLogger("jaylatch.leases")

MemberReporter = Callable[[float], MemberReport | None]
ProgressReporter = Callable[[float], tuple[GroupProgress, ...]]
AnsweredPartsReporter = Callable[[float], tuple[PromptPartId, ...]]


class LeaseController:
    """Sends one renewal at a time: periodically, and at once when the leader announces a change."""

    def __init__(
        self,
        board: Blackboard,
        settings: LeaseSettings,
        roles: tuple[Role, ...],
        client: ControlClient,
        report_member: MemberReporter,
        report_progress: ProgressReporter = lambda now: (),
        report_answered_parts: AnsweredPartsReporter = lambda now: (),
    ) -> None:
        self._board = board
        self._settings = settings
        self._roles = roles
        self._client = client
        self._report_member = report_member
        self._report_progress = report_progress
        self._report_answered_parts = report_answered_parts
        self._wake = Event()
        self._had_lease = False
        self._grant_handlers: list[Callable[[], None]] = []

    def start(self) -> None:
        """Start renewing."""
        self._task = create_task(self._run())

    def stop(self) -> None:
        """Stop renewing; the lease then lapses."""
        self._task.cancel()

    def renew_now(self) -> None:
        """Renew without waiting for the next interval."""
        self._wake.set()

    def on_grant(self, handler: Callable[[], None]) -> None:
        """Call ``handler`` after each grant has been written to the blackboard."""
        self._grant_handlers.append(handler)

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            self._record_lapse()
            try:
                has_changed = await self._renew()
            except Exception:
                # Without further renewals the process would follow nothing until it is restarted.
                _log.exception("unexpected error in the renewal of the lease")
                has_changed = False
            if has_changed:
                # Acknowledges the new generations without waiting for the next interval.
                continue
            try:
                async with time_limit(self._settings.renew_interval):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _renew(self) -> bool:
        sent_at = monotonic()
        result = await self._client.call(CONTROL_LOG, self._renewal(), self._settings.duration)
        if not is_successful(result):
            return False
        match result.unwrap():
            case LeaseGrant() as grant:
                return self._accept(sent_at, grant)
            case _:
                return False

    def _renewal(self) -> RenewLease:
        identity = self._board.identity
        grant = self._board.grant
        return RenewLease(
            identity.instance,
            identity.incarnation,
            self._roles,
            identity.failure_domain,
            identity.stream,
            grant.generation,
            grant.preset_generation,
            grant.view.version,
            self._report_member(monotonic()),
            grant.preset.generation,
            grant.deployment.number,
            self._report_progress(monotonic()),
            self._report_answered_parts(monotonic()),
        )

    def _accept(self, sent_at: float, grant: LeaseGrant) -> bool:
        known = self._board.grant
        preset_generation = Generation(
            max(grant.preset.generation, grant.preset.prepared_generation)
        )
        change = _decode_change(grant.deployment_change)
        deployment = apply_change(known.deployment, change) if change is not None else None
        is_older_deployment = change is not None and change.number < known.deployment.number
        if (
            grant.generation < known.generation
            or preset_generation < known.preset_generation
            or is_older_deployment
        ):
            # An older grant must not revert the state that this process applies.
            return False
        self._client.update_peers(grant.control)
        if deployment is not None:
            self._board.events.record(
                wall(), EventName.DEPLOYMENT_CHANGED, detail=str(deployment.number)
            )
        has_changed = (
            grant.generation > known.generation
            or grant.preset != known.preset
            or deployment is not None
        )
        self._record_lapse()
        self._record_changes(grant)
        if grant.configuration is not None:
            known.configuration = grant.configuration
            known.generation = grant.generation
        if deployment is not None:
            known.deployment = deployment
            known.announced.apply(deployment.number)
        known.preset = grant.preset
        if grant.view is not None:
            known.view = grant.view
        known.assignment = grant.assignment
        known.is_drained = grant.is_drained
        known.gateways = grant.gateways or known.gateways
        known.lease.extend(sent_at, grant.duration)
        if not self._had_lease and known.lease.is_valid(monotonic()):
            self._had_lease = True
            self._board.events.record(wall(), EventName.LEASE_HELD)
        for handler in self._grant_handlers:
            handler()
        return has_changed

    def note_deployment(self, number: DeploymentNumber) -> None:
        """Note that the leader announced a deployment, and renew to obtain it."""
        known = self._board.grant
        known.announced.note(monotonic(), number, known.deployment.number)
        self.renew_now()

    def _record_lapse(self) -> None:
        """If the lease has lapsed, record the wall-clock time at which it did."""
        now = monotonic()
        lease = self._board.grant.lease
        if self._had_lease and not lease.is_valid(now):
            self._had_lease = False
            lapsed_at = wall() - (now - lease.expires_at)
            self._board.events.record(wall(), EventName.LEASE_LAPSED, detail=f"{lapsed_at:.6f}")

    def _record_changes(self, grant: LeaseGrant) -> None:
        known = self._board.grant
        events = self._board.events
        preset = grant.preset
        if grant.configuration is not None and grant.generation != known.generation:
            events.record(
                wall(),
                EventName.CONFIGURATION_CHANGED,
                detail=str(grant.generation),
                generation=grant.generation,
            )
        if preset.prepared_generation > known.preset.prepared_generation:
            detail = str(preset.prepared_generation)
            events.record(
                wall(),
                EventName.PRESET_PREPARED,
                preset.prepared.value,
                detail=detail,
                generation=preset.prepared_generation,
            )
        if preset.generation != known.preset.generation:
            detail = str(preset.generation)
            events.record(
                wall(),
                EventName.PRESET_CHANGED,
                preset.preset.value,
                detail=detail,
                generation=preset.generation,
            )


def _decode_change(data: bytes | None) -> DeploymentChange | None:
    if data is None:
        return None
    try:
        return unpack_change(data)
    except msgspec.DecodeError as error:
        _log.error("the change of the deployment in a grant is unusable: %s", error)
        return None
