"""Base handler of the administration API: authorization, headers and error statuses."""

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
    DomainUnknown,
    Failure,
    GenerationConflict,
    Unavailable,
)
from jaylatch_core.ids import CommandId, Generation
from jaylatch_core.json_documents import MAX_INTEGER, decode_json
from jaylatch_core.messages.administration import ReadStatus, StatusReport
from jaylatch_core.messages.frames import Body
from jaylatch_core.settings import NodeSettings, OperatorSettings
from jaylatch_node.control.client import CONTROL_LOG, ControlClient
from jaylatch_node.entry.operators import UNNAMED_OPERATOR, find_operator, is_permitted
from jaylatch_node.streams import PeerPool

CALL_TIMEOUT = 5.0
"""Seconds to wait for the control leader's reply."""
COMMAND_HEADER = "X-Command-Id"
COMMAND_ID_LIMIT = 128
"""Maximum number of characters in a command id."""
GENERATION_HEADER = "X-Expected-Generation"

READ_METHODS = {"GET", "HEAD"}

T = TypeVar("T")


@dataclass(frozen=True)
class AdministrationServices:
    """Dependencies of the administration handlers."""

    client: ControlClient
    peers: PeerPool
    settings: NodeSettings


class AdministrationHandler(RequestHandler):
    """Base of the administration handlers.

    Methods other than GET and HEAD require ``change_role``.
    """

    change_role = OperatorRole.OPERATE
    operator = OperatorSettings(UNNAMED_OPERATOR, "")

    def initialize(self, services: AdministrationServices) -> None:
        """Store the dependencies of the handler."""
        self._services = services

    def prepare(self) -> None:
        """Refuse a request whose token is unknown or whose operator lacks the required role."""
        authorization = self.request.headers.get("Authorization", "")
        operator = find_operator(self._services.settings.entry, authorization)
        if operator is None:
            self.write_failure(
                401,
                CommandRefused("no token of a known operator; send 'Authorization: Bearer TOKEN'"),
            )
            return
        is_read = self.request.method in READ_METHODS
        required_role = OperatorRole.READ if is_read else self.change_role
        if not is_permitted(operator, required_role):
            detail = (
                f"operator {operator.name!r} has the role {operator.role.value!r};"
                f" this request requires {required_role.value!r}"
            )
            self.write_failure(403, CommandRefused(detail))
            return
        self.operator = operator

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Write errors raised by tornado (unknown method, internal error) as JSON."""
        self.write_failure(status_code, CommandRefused(f"{self.request.method}: {self._reason}"))

    def command_id(self) -> CommandId:
        """Return the command id from the request, or a new one.

        An id chosen by the caller makes a resend idempotent.
        """
        given = self.request.headers.get(COMMAND_HEADER, "")
        return CommandId(given[:COMMAND_ID_LIMIT] or uuid4().hex)

    def expected_generation(self) -> Result[Generation, CommandRefused]:
        """Return the configuration generation that the change is based on, from its header."""
        text = self.request.headers.get(GENERATION_HEADER, "")
        is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_INTEGER))
        if not is_number or int(text) > MAX_INTEGER:
            detail = (
                f"{GENERATION_HEADER} is {text!r}; send the generation that the change is based on"
            )
            return Err(CommandRefused(detail))
        return Success(Generation(int(text)))

    def parse_body(self, kind: type[T]) -> Result[T, CommandRefused]:
        """Parse the JSON body as ``kind``."""
        try:
            return Success(decode_json(msgspec.json.Decoder(kind), self.request.body))
        except msgspec.DecodeError as error:
            return Err(CommandRefused(f"the body is not valid for {self.request.path}: {error}"))

    async def call(self, body: Body) -> Body:
        """Call the control leader and return its reply, or Unavailable if the call fails."""
        result = await self._services.client.call(CONTROL_LOG, body, CALL_TIMEOUT)
        return result.unwrap() if is_successful(result) else Unavailable(result.failure().detail)

    async def read_status(self) -> StatusReport | None:
        """Return the leader's status; on a failure, write the error and return None."""
        status = await self.call(ReadStatus())
        if isinstance(status, StatusReport):
            return status
        self.write_body(status)
        return None

    def write_body(self, body: Body) -> None:
        """Finish with the leader's reply, using the HTTP status of its type."""
        match body:
            case GenerationConflict():
                self.write_failure(409, body)
            case DomainUnknown():
                self.write_failure(404, body)
            case CommandRefused() | ConfigurationInvalid():
                self.write_failure(422, body)
            case Failure():
                self.write_failure(503, body)
            case _:
                self.write_json(body)

    def write_failure(self, status: int, failure: Failure) -> None:
        """Finish with a failure as JSON under an HTTP status."""
        self.set_status(status)
        self.write_json(failure)

    def write_json(self, body: object) -> None:
        """Finish with ``body`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))
