"""The administration API: operators' HTTP calls, passed to the control leader as typed commands."""

from dataclasses import dataclass
from uuid import uuid4

import msgspec
from returns.pipeline import is_successful
from tornado.web import RequestHandler

from jaylatch_core.configuration import Configuration, parse_configuration
from jaylatch_core.enums import DrainScope, Preset
from jaylatch_core.exceptions import (
    CommandRefused,
    ConfigurationInvalid,
    Failure,
    GenerationConflict,
    Unavailable,
)
from jaylatch_core.ids import CommandId, Generation
from jaylatch_core.messages.administration import (
    ReadStatus,
    StatusReport,
)
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    PreparePreset,
    SetDrain,
)
from jaylatch_core.messages.frames import Body
from jaylatch_node.control.client import CONTROL_LOG, ControlClient
from jaylatch_node.entry.accounts import BEARER, hash_key
from jaylatch_node.entry.timeline import gather_timeline, parse_filter
from jaylatch_node.streams import PeerPool

CALL_TIMEOUT = 5.0
COMMAND_HEADER = "X-Command-Id"
GENERATION_HEADER = "X-Expected-Generation"


@dataclass(frozen=True)
class AdministrationServices:
    """What the administration handlers work with."""

    client: ControlClient
    peers: PeerPool
    token_hashes: tuple[str, ...]


class _PresetBody(msgspec.Struct, forbid_unknown_fields=True):
    preset: Preset


class _DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    scope: DrainScope
    subject: str
    is_draining: bool


class AdministrationHandler(RequestHandler):
    """Base of the operators' handlers: checks the token, and turns failures into statuses."""

    def initialize(self, services: AdministrationServices) -> None:
        """Take what the handler works with."""
        self._services = services

    def prepare(self) -> None:
        """Refuse a request without an operator's token."""
        token = self.request.headers.get("Authorization", "").removeprefix(BEARER)
        if hash_key(token) not in self._services.token_hashes:
            self._write_failure(401, CommandRefused("no operator's token; send 'Bearer TOKEN'"))

    def _command_id(self) -> CommandId:
        return CommandId(self.request.headers.get(COMMAND_HEADER) or uuid4().hex)

    def _expected(self) -> Generation:
        return Generation(int(self.request.headers.get(GENERATION_HEADER, "-1")))

    async def _call(self, body: Body) -> Body:
        result = await self._services.client.call(CONTROL_LOG, body, CALL_TIMEOUT)
        return result.unwrap() if is_successful(result) else Unavailable(result.failure().detail)

    def _write(self, body: Body) -> None:
        match body:
            case GenerationConflict():
                self._write_failure(409, body)
            case CommandRefused() | ConfigurationInvalid():
                self._write_failure(422, body)
            case Unavailable():
                self._write_failure(503, body)
            case _:
                self._write_json(body)

    def _write_failure(self, status: int, failure: Failure) -> None:
        self.set_status(status)
        self._write_json(failure)

    def _write_json(self, body: object) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class StatusHandler(AdministrationHandler):
    """``GET /admin/v1/status``."""

    async def get(self) -> None:
        """Return the whole state as the leader knows it."""
        self._write(await self._call(ReadStatus()))


class ConfigurationHandler(AdministrationHandler):
    """``/admin/v1/configuration``: TOML in, TOML out."""

    async def get(self) -> None:
        """Return the configuration document in force."""
        status = await self._call(ReadStatus())
        if not isinstance(status, StatusReport):
            return self._write(status)
        self.set_header("Content-Type", "application/toml")
        self.set_header("X-Generation", str(status.generation))
        self.finish(_to_toml(status.configuration))
        return None

    async def put(self) -> None:
        """Replace the configuration if its generation is still the expected one."""
        parsed = parse_configuration(self.request.body)
        if not is_successful(parsed):
            return self._write(parsed.failure())
        command = ApplyConfiguration(self._command_id(), self._expected(), parsed.unwrap())
        return self._write(await self._call(command))


class PresetHandler(AdministrationHandler):
    """``PUT /admin/v1/preset``."""

    async def put(self) -> None:
        """Begin a switch to another preset."""
        try:
            body = msgspec.json.decode(self.request.body, type=_PresetBody)
        except msgspec.DecodeError as error:
            return self._write(CommandRefused(f"the body is not a preset: {error}"))
        command = PreparePreset(self._command_id(), self._expected(), body.preset)
        return self._write(await self._call(command))


class DrainsHandler(AdministrationHandler):
    """``PUT /admin/v1/drains``."""

    async def put(self) -> None:
        """Start or end a planned stop."""
        try:
            body = msgspec.json.decode(self.request.body, type=_DrainBody)
        except msgspec.DecodeError as error:
            return self._write(CommandRefused(f"the body is not a planned stop: {error}"))
        command = SetDrain(self._command_id(), body.scope, body.subject, body.is_draining)
        return self._write(await self._call(command))


class TimelineHandler(AdministrationHandler):
    """``GET /admin/v1/timeline``: the recent events of all processes, merged."""

    async def get(self) -> None:
        """Return the wanted events in causal order, and what is missing among them."""
        names = self.request.query_arguments
        wanted = parse_filter({name: self.get_query_argument(name) for name in names})
        if not is_successful(wanted):
            return self._write(wanted.failure())
        status = await self._call(ReadStatus())
        if not isinstance(status, StatusReport):
            return self._write(status)
        timeline = await gather_timeline(self._services.peers, status, wanted.unwrap())
        return self._write_json(timeline)


def _to_toml(configuration: Configuration) -> bytes:
    return msgspec.toml.encode(configuration)
