"""Administration handlers for the configuration: document, history, diff and accounts."""

from difflib import unified_diff

import msgspec
from returns.pipeline import is_successful
from returns.result import Result

from jaylatch_core.clock import wall
from jaylatch_core.configuration import Configuration, parse_configuration
from jaylatch_core.enums import OperatorRole
from jaylatch_core.exceptions import CommandRefused
from jaylatch_core.ids import AccountId, Generation
from jaylatch_core.messages.administration import HistoryReport, ReadHistory
from jaylatch_core.messages.control import ApplyConfiguration, ConfigurationRecord
from jaylatch_decisions.control import AccountChange, change_account, remove_account
from jaylatch_node.entry.administration import AdministrationHandler


class _RecordSummary(msgspec.Struct):
    generation: Generation
    operator: str
    command: str
    at: float


class _AccountSummary(msgspec.Struct):
    id: AccountId
    share: float
    key_hashes: tuple[str, ...]


class ConfigurationHandler(AdministrationHandler):
    """``/admin/v1/configuration``, as a TOML document."""

    change_role = OperatorRole.ADMINISTER

    async def get(self) -> None:
        """Return the active configuration document."""
        status = await self.read_status()
        if status is not None:
            _write_document(self, status.generation, status.configuration)

    async def put(self) -> None:
        """Replace the configuration if its generation is still the expected one."""
        expected_generation = self.expected_generation()
        if not is_successful(expected_generation):
            return self.write_body(expected_generation.failure())
        parsed = parse_configuration(self.request.body)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        return await apply_configuration(self, expected_generation.unwrap(), parsed.unwrap())

    async def post(self) -> None:
        """Validate a document without applying it."""
        parsed = parse_configuration(self.request.body)
        if not is_successful(parsed):
            return self.write_body(parsed.failure())
        return self.write_json({"is_valid": True})


class HistoryHandler(AdministrationHandler):
    """``GET /admin/v1/configuration/history``."""

    async def get(self) -> None:
        """Return operator, command and time of the latest generations, oldest first."""
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
        """Return the unified diff of two documents."""
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
    """``/admin/v1/accounts/ACCOUNT``. Changes are based on the newest configuration."""

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


async def apply_configuration(
    handler: AdministrationHandler, expected_generation: Generation, configuration: Configuration
) -> None:
    """Send a configuration to the control leader and answer with its reply."""
    command = ApplyConfiguration(
        handler.command_id(), expected_generation, configuration, handler.operator.name, wall()
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
    stored = ", ".join(str(record.generation) for record in records)
    handler.write_failure(
        404, CommandRefused(f"generation {generation} is not stored; stored generations: {stored}")
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
