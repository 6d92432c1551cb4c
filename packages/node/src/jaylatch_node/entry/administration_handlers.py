"""The administration API's resources. Operators' commands go to the control leader as messages."""

from difflib import unified_diff
from typing import Any

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_core.checks import run_checks
from jaylatch_core.clock import wall
from jaylatch_core.configuration import Configuration, parse_configuration
from jaylatch_core.enums import DrainScope, OperatorRole, Preset
from jaylatch_core.exceptions import CommandRefused
from jaylatch_core.ids import AccountId, Generation
from jaylatch_core.messages.administration import (
    HistoryReport,
    ReadHistory,
    ReadStatus,
)
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    ConfigurationRecord,
    PreparePreset,
    SetDrain,
)
from jaylatch_decisions.control import (
    AccountChange,
    change_account,
    drain_progress,
    remove_account,
)
from jaylatch_node.entry.administration import AdministrationHandler, AdministrationServices
from jaylatch_node.entry.timeline_handlers import TimelineHandler

EVENTS_TIMEOUT = 1.0


class _PresetBody(msgspec.Struct, forbid_unknown_fields=True):
    preset: Preset


class _DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    scope: DrainScope
    subject: str
    is_draining: bool


class _RecordSummary(msgspec.Struct):
    generation: Generation
    operator: str
    command: str
    at: float


class _AccountSummary(msgspec.Struct):
    id: AccountId
    share: float
    key_hashes: tuple[str, ...]


class StatusHandler(AdministrationHandler):
    """``GET /admin/v1/status``."""

    async def get(self) -> None:
        """Return the whole state as the leader knows it."""
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
        """Return the instances beside which a target has announced itself."""
        status = await self.read_status()
        if status is not None:
            self.write_json([node for node in status.nodes if node.member is not None])


class ConfigurationHandler(AdministrationHandler):
    """``/admin/v1/configuration``: TOML in, TOML out."""

    change_role = OperatorRole.ADMINISTER

    async def get(self) -> None:
        """Return the configuration document in force."""
        status = await self.read_status()
        if status is not None:
            _write_document(self, status.generation, status.configuration)

    async def put(self) -> None:
        """Replace the configuration if its generation is still the expected one."""
        expected = self.expected()
        if not is_successful(expected):
            return self.write_body(expected.failure())
        parsed = parse_configuration(self.request.body)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        return await apply_configuration(self, expected.unwrap(), parsed.unwrap())

    async def post(self) -> None:
        """Check a document without applying it."""
        parsed = parse_configuration(self.request.body)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        return self.write_json({"is_valid": True})


class HistoryHandler(AdministrationHandler):
    """``GET /admin/v1/configuration/history``."""

    async def get(self) -> None:
        """Return who applied the latest generations, oldest first."""
        records = await _read_records(self)
        if records is not None:
            self.write_json(
                [
                    _RecordSummary(item.generation, item.operator, item.command, item.at)
                    for item in records
                ]
            )


class GenerationHandler(AdministrationHandler):
    """``GET /admin/v1/configuration/GENERATION``."""

    async def get(self, generation: str) -> None:
        """Return an earlier document."""
        records = await _read_records(self)
        record = _find_record(self, records, int(generation))
        if record is not None:
            _write_document(self, record.generation, record.configuration)


class DiffHandler(AdministrationHandler):
    """``GET /admin/v1/configuration/OLD/diff/NEW``."""

    async def get(self, old: str, new: str) -> None:
        """Return the unified difference between two documents."""
        records = await _read_records(self)
        first = _find_record(self, records, int(old))
        second = _find_record(self, records, int(new)) if first is not None else None
        if first is not None and second is not None:
            lines = unified_diff(
                _to_lines(first), _to_lines(second), f"generation {old}", f"generation {new}"
            )
            self.write_json({"diff": "".join(lines)})


class AccountsHandler(AdministrationHandler):
    """``GET /admin/v1/accounts``."""

    async def get(self) -> None:
        """Return the accounts with the hashes of their keys."""
        status = await self.read_status()
        if status is not None:
            self.write_json(
                [
                    _AccountSummary(item.id, item.share, item.key_hashes)
                    for item in status.configuration.accounts
                ]
            )


class AccountHandler(AdministrationHandler):
    """``/admin/v1/accounts/ACCOUNT``: a change that is based on the newest configuration."""

    change_role = OperatorRole.ADMINISTER

    async def put(self, account: str) -> None:
        """Add the account, or change its keys or its share."""
        change = self.parse_body(AccountChange)
        if not is_successful(change):
            return self.write_body(change.failure())
        status = await self.read_status()
        if status is None:
            return None
        changed = change_account(status.configuration, AccountId(account), change.unwrap())
        return await self._apply(status.generation, changed)

    async def delete(self, account: str) -> None:
        """Remove the account."""
        status = await self.read_status()
        if status is not None:
            changed = remove_account(status.configuration, AccountId(account))
            await self._apply(status.generation, changed)

    async def _apply(
        self, generation: Generation, changed: Result[Configuration, CommandRefused]
    ) -> None:
        if is_successful(changed):
            await apply_configuration(self, generation, changed.unwrap())
        else:
            self.write_body(changed.failure())


class PresetHandler(AdministrationHandler):
    """``/admin/v1/preset``."""

    async def get(self) -> None:
        """Return the preset in force and the one being switched to."""
        status = await self.read_status()
        if status is not None:
            self.write_json(status.preset)

    async def put(self) -> None:
        """Begin a switch to another preset."""
        expected = self.expected()
        body = self.parse_body(_PresetBody)
        for parsed in (expected, body):
            if not is_successful(parsed):
                return self.write_body(parsed.failure())
        command = PreparePreset(
            self.command_id(), expected.unwrap(), body.unwrap().preset, self.operator.name
        )
        return self.write_body(await self.call(command))


class DrainsHandler(AdministrationHandler):
    """``/admin/v1/drains``."""

    async def get(self) -> None:
        """Return the planned stops and how far they have come."""
        status = await self.read_status()
        if status is not None:
            self.write_json(drain_progress(status))

    async def put(self) -> None:
        """Start or end a planned stop."""
        parsed = self.parse_body(_DrainBody)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        body = parsed.unwrap()
        command = SetDrain(self.command_id(), body.scope, body.subject, body.is_draining)
        return self.write_body(await self.call(command))


class ChecksHandler(AdministrationHandler):
    """``GET /admin/v1/checks``."""

    def get(self) -> None:
        """Return the findings of the checks on this entry's settings."""
        self.write_json(
            [
                {"level": item.level.name, "id": item.id, "subject": item.subject}
                | {"text": item.text, "hint": item.hint}
                for item in run_checks(self._services.settings)
            ]
        )


class UnknownHandler(AdministrationHandler):
    """Everything else under ``/admin``."""

    def prepare(self) -> None:
        """Refuse with 404."""
        self.write_failure(404, CommandRefused(f"there is no {self.request.path}"))


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


async def apply_configuration(
    handler: AdministrationHandler, expected: Generation, configuration: Configuration
) -> None:
    """Propose a configuration and answer with what became of it."""
    command = ApplyConfiguration(
        handler.command_id(), expected, configuration, handler.operator.name, wall()
    )
    handler.write_body(await handler.call(command))


async def _read_records(
    handler: AdministrationHandler,
) -> tuple[ConfigurationRecord, ...] | None:
    history = await handler.call(ReadHistory())
    if isinstance(history, HistoryReport):
        return history.records
    handler.write_body(history)
    return None


def _find_record(
    handler: AdministrationHandler,
    records: tuple[ConfigurationRecord, ...] | None,
    generation: int,
) -> ConfigurationRecord | None:
    if records is None:
        return None
    for record in records:
        if record.generation == generation:
            return record
    kept = ", ".join(str(record.generation) for record in records)
    handler.write_failure(
        404, CommandRefused(f"generation {generation} is not kept; these are: {kept}")
    )
    return None


def _write_document(
    handler: AdministrationHandler, generation: Generation, configuration: Configuration
) -> None:
    handler.set_header("Content-Type", "application/toml")
    handler.set_header("X-Generation", str(generation))
    handler.finish(msgspec.toml.encode(configuration))


def _to_lines(record: ConfigurationRecord) -> list[str]:
    return msgspec.toml.encode(record.configuration).decode().splitlines(keepends=True)
