"""Handlers and routes of the administration API. Commands are sent to the control leader."""

from functools import partial
from typing import Any

import msgspec
from returns.pipeline import is_successful

from jaylatch_core.checks import run_checks
from jaylatch_core.clock import wall
from jaylatch_core.enums import DrainScope, Preset
from jaylatch_core.exceptions import CommandRefused, Unavailable
from jaylatch_core.messages.administration import (
    ReadStatus,
)
from jaylatch_core.messages.control import (
    PreparePreset,
    SetDrain,
)
from jaylatch_decisions.control import (
    drain_progress,
)
from jaylatch_node.callers import is_waiting
from jaylatch_node.control.drain_orders import order_drain
from jaylatch_node.entry.administration import (
    CALL_TIMEOUT,
    AdministrationHandler,
    AdministrationServices,
)
from jaylatch_node.entry.configuration_handlers import (
    AccountHandler,
    AccountsHandler,
    ConfigurationHandler,
    DiffHandler,
    GenerationHandler,
    HistoryHandler,
)
from jaylatch_node.entry.timeline_handlers import TimelineHandler


class _PresetBody(msgspec.Struct, forbid_unknown_fields=True):
    preset: Preset


class _DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    scope: DrainScope
    subject: str
    is_draining: bool


class StatusHandler(AdministrationHandler):
    """``GET /admin/v1/status``."""

    async def get(self) -> None:
        """Return the complete status report of the control leader."""
        self.write_body(await self.call(ReadStatus()))


class GroupsHandler(AdministrationHandler):
    """``GET /admin/v1/groups``."""

    async def get(self) -> None:
        """Return the replica groups."""
        status = await self.read_status()
        if status is not None:
            self.write_json(status.groups)


class TargetsHandler(AdministrationHandler):
    """``GET /admin/v1/targets``."""

    async def get(self) -> None:
        """Return the instances whose target has announced itself."""
        status = await self.read_status()
        if status is not None:
            self.write_json([node for node in status.nodes if node.member is not None])


class PresetHandler(AdministrationHandler):
    """``/admin/v1/preset``."""

    async def get(self) -> None:
        """Return the active preset and the one being switched to."""
        status = await self.read_status()
        if status is not None:
            self.write_json(status.preset)

    async def put(self) -> None:
        """Start a switch to another preset."""
        expected_generation = self.expected_generation()
        body = self.parse_body(_PresetBody)
        for parsed in (expected_generation, body):
            if not is_successful(parsed):
                return self.write_body(parsed.failure())
        command = PreparePreset(
            self.command_id(),
            expected_generation.unwrap(),
            body.unwrap().preset,
            self.operator.name,
        )
        return self.write_body(await self.call(command))


class DrainsHandler(AdministrationHandler):
    """``/admin/v1/drains``."""

    async def get(self) -> None:
        """Return the drains and their progress."""
        status = await self.read_status()
        if status is not None:
            self.write_json(drain_progress(status))

    async def put(self) -> None:
        """Start or end a drain."""
        parsed = self.parse_body(_DrainBody)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        body = parsed.unwrap()
        order = SetDrain(
            self.command_id(),
            body.scope,
            body.subject,
            body.is_draining,
            self.operator.name,
            wall(),
        )
        answer = await order_drain(
            self._services.client, order, partial(is_waiting, self.request), CALL_TIMEOUT
        )
        return self.write_body(answer or Unavailable("the order was not confirmed; send it again"))


class ChecksHandler(AdministrationHandler):
    """``GET /admin/v1/checks``."""

    def get(self) -> None:
        """Run the checks on this entry's settings and return the findings."""
        self.write_json(
            [
                {"level": item.level.name, "id": item.id, "subject": item.subject}
                | {"text": item.text, "hint": item.hint}
                for item in run_checks(self._services.settings)
            ]
        )


class UnknownHandler(AdministrationHandler):
    """Any other path under ``/admin/v1/``."""

    def prepare(self) -> None:
        """Refuse with 404."""
        self.write_failure(404, CommandRefused(f"path {self.request.path} does not exist"))


def administration_routes(services: AdministrationServices) -> list[tuple[str, Any, Any]]:
    """Return the routes of the administration API for tornado's application."""
    arguments = {"services": services}
    handlers = [
        ("/status", StatusHandler),
        ("/groups", GroupsHandler),
        ("/targets", TargetsHandler),
        ("/configuration", ConfigurationHandler),
        ("/configuration/history", HistoryHandler),
        ("/configuration/([0-9]{1,18})", GenerationHandler),
        ("/configuration/([0-9]{1,18})/diff/([0-9]{1,18})", DiffHandler),
        ("/accounts", AccountsHandler),
        ("/accounts/([^/]+)", AccountHandler),
        ("/preset", PresetHandler),
        ("/drains", DrainsHandler),
        ("/checks", ChecksHandler),
        ("/timeline", TimelineHandler),
        ("/.*", UnknownHandler),
    ]
    return [(f"/admin/v1{path}", handler, arguments) for path, handler in handlers]
