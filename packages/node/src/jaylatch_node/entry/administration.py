"""Base of the administration API: tokens and roles, headers, and failures as statuses."""

from dataclasses import dataclass
from typing import Any, TypeVar
from uuid import uuid4

import msgspec
from returns.pipeline import is_successful
from returns.result import Failure as Err
from returns.result import Result, Success
from tornado.web import RequestHandler

from jaylatch_core.enums import OperatorRole
from jaylatch_core.exceptions import (
    CommandRefused,
    ConfigurationInvalid,
    Failure,
    GenerationConflict,
    Unavailable,
)
from jaylatch_core.ids import CommandId, Generation
from jaylatch_core.messages.administration import ReadStatus, StatusReport
from jaylatch_core.messages.frames import Body
from jaylatch_core.settings import NodeSettings, OperatorSettings
from jaylatch_node.control.client import CONTROL_LOG, ControlClient
from jaylatch_node.entry.operators import UNNAMED_OPERATOR, find_operator, is_permitted
from jaylatch_node.streams import PeerPool

CALL_TIMEOUT = 5.0
COMMAND_HEADER = "X-Command-Id"
COMMAND_ID_LIMIT = 128
"""Characters of a command id at most."""
GENERATION_HEADER = "X-Expected-Generation"

READING_METHODS = {"GET", "HEAD"}

T = TypeVar("T")


@dataclass(frozen=True)
class AdministrationServices:
    """What the administration handlers work with."""

    client: ControlClient
    peers: PeerPool
    settings: NodeSettings


class AdministrationHandler(RequestHandler):
    """Base of the operators' handlers. ``change_role`` is needed for every method but reading."""

    change_role = OperatorRole.OPERATE
    operator = OperatorSettings(UNNAMED_OPERATOR, "")

    def initialize(self, services: AdministrationServices) -> None:
        """Take what the handler works with."""
        self._services = services

    def prepare(self) -> None:
        """Refuse a request whose token is unknown or does not permit it."""
        authorization = self.request.headers.get("Authorization", "")
        operator = find_operator(self._services.settings.entry, authorization)
        if operator is None:
            self.write_failure(401, CommandRefused("no operator's token; send 'Bearer TOKEN'"))
            return
        is_reading = self.request.method in READING_METHODS
        needed = OperatorRole.READ if is_reading else self.change_role
        if not is_permitted(operator, needed):
            detail = (
                f"operator {operator.name!r} has the role {operator.role.value!r};"
                f" this needs {needed.value!r}"
            )
            self.write_failure(403, CommandRefused(detail))
            return
        self.operator = operator

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write what tornado refuses by itself (unknown method, failure inside) as JSON."""
        self.write_failure(status_code, CommandRefused(f"{self.request.method}: {self._reason}"))

    def command_id(self) -> CommandId:
        """Return the id of the command; the caller's own makes a resend safe."""
        given = self.request.headers.get(COMMAND_HEADER, "")
        return CommandId(given[:COMMAND_ID_LIMIT] or uuid4().hex)

    def expected(self) -> Result[Generation, CommandRefused]:
        """Return the generation that the change is based on."""
        text = self.request.headers.get(GENERATION_HEADER, "")
        if not (text.isascii() and text.isdigit()):
            detail = f"{GENERATION_HEADER} is {text!r}; give the generation that you have read"
            return Err(CommandRefused(detail))
        return Success(Generation(int(text)))

    def parse_body(self, kind: type[T]) -> Result[T, CommandRefused]:
        """Parse the JSON body as ``kind``."""
        try:
            return Success(msgspec.json.decode(self.request.body, type=kind))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Err(CommandRefused(f"the body is not what {self.request.path} takes: {error}"))

    async def call(self, body: Body) -> Body:
        """Call the control leader."""
        result = await self._services.client.call(CONTROL_LOG, body, CALL_TIMEOUT)
        return result.unwrap() if is_successful(result) else Unavailable(result.failure().detail)

    async def read_status(self) -> StatusReport | None:
        """Return the leader's status; on a failure answers the request and returns None."""
        status = await self.call(ReadStatus())
        if isinstance(status, StatusReport):
            return status
        self.write_body(status)
        return None

    def write_body(self, body: Body) -> None:
        """Finish with the leader's answer, under the status that its type calls for."""
        match body:
            case GenerationConflict():
                self.write_failure(409, body)
            case CommandRefused() | ConfigurationInvalid():
                self.write_failure(422, body)
            case Failure():
                self.write_failure(503, body)
            case _:
                self.write_json(body)

    def write_failure(self, status: int, failure: Failure) -> None:
        """Finish with a failure."""
        self.set_status(status)
        self.write_json(failure)

    def write_json(self, body: object) -> None:
        """Finish with ``body`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))
