"""Translation between a platform's HTTP and the gateway's own types.

A dialect only translates: it keeps no state and makes no decisions.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from tornado.httputil import HTTPHeaders, RequestStartLine

from jaylatch_core.ids import AccountId, AttemptId, InstanceId, PromptPartId
from jaylatch_decisions.targets import EngineOrder
from jaylatch_node.targets.connection import OutboundRequest, ResponseHead


@dataclass
class InboundRequest:
    """A caller's request. ``time_left`` is the seconds that the caller will wait, if stated.

    ``model`` is None for a call of a plain service. ``resume_after`` is the id of the last event
    that the caller has, if it resumes a stream. ``shared_parts`` are the parts of its prompt that
    other requests may share. ``prompt_tokens`` and ``answer_tokens`` are its expected size (0: not
    stated).
    """

    attempt: AttemptId
    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    time_left: float | None
    key: str | None
    model: str | None
    resume_after: int | None
    shared_parts: tuple[PromptPartId, ...] = ()
    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class ResponseFacts:
    """Facts that a target's response head states besides the answer.

    ``has_signature`` is whether it carries the target's signature. ``is_not_run`` is the target's
    guarantee that it did not run the request and never will. ``server_load`` is the number of
    requests that it runs or queues, None if it is not stated. ``is_encoded`` is whether the body
    has a content encoding. ``keep_alive`` is the target's idle timeout in seconds, if stated.
    ``is_misdirected`` is whether the answer comes from another target than the expected one.
    ``limit`` is the number of requests a second that the target takes from all gateways together,
    if it states one. ``rest`` is the number of seconds for which it wants no request from this
    gateway, set only if it turned the request away. ``is_leaving`` is whether the target says that
    it ends soon. ``cold_left`` is the number of seconds for which it says that it stays cold, None
    if it does not say.
    """

    attempt: AttemptId | None
    has_signature: bool
    is_not_run: bool
    server_load: int | None
    is_encoded: bool
    keep_alive: float | None
    is_misdirected: bool = False
    limit: float | None = None
    rest: float | None = None
    is_leaving: bool = False
    cold_left: float | None = None


class RefusalKind(Enum):
    """Kind of an answer of the gateway's own.

    ``FAILED`` and ``TIMED_OUT`` do not tell whether the request has run; with any other one it has
    not, and with ``NOT_RUN`` it may be sent again.
    """

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    BAD_REQUEST = "bad_request"
    NOT_RUN = "not_run"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMED_OUT = "head_timed_out"
    BODY_TOO_LARGE = "body_too_large"


@dataclass(frozen=True)
class Refusal:
    """The gateway's own answer. ``retry_after`` is seconds, 0 if none is advised."""

    kind: RefusalKind
    reason: str
    retry_after: float = 0.0


class OrderOutcome(Enum):
    """Outcome of an order to an engine."""

    ACCEPTED = "accepted"
    DONE = "done"
    CONFLICT = "conflict"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class TargetDialect(Protocol):
    """Translation of one platform's requests, responses and orders."""

    def read_request(
        self, start_line: RequestStartLine, headers: HTTPHeaders, body: bytes
    ) -> InboundRequest | Refusal:
        """Return the request that a caller sent, or a refusal if it is not usable."""

    def write_request(
        self,
        request: InboundRequest,
        instance: InstanceId,
        account: AccountId | None,
        time_left: float,
        resume_after: int | None,
    ) -> OutboundRequest:
        """Return the request to send to the target."""

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Return the facts that a response head states."""

    def write_refusal(
        self, refusal: Refusal, attempt: AttemptId | None
    ) -> tuple[int, str, HTTPHeaders, bytes]:
        """Return status, reason phrase, headers and body of the gateway's own answer."""

    def write_answer_headers(self, head: ResponseHead) -> HTTPHeaders:
        """Return the headers with which a target's answer is forwarded to the caller."""

    def write_order(self, order: EngineOrder, instance: InstanceId, fence: int) -> OutboundRequest:
        """Return the request that sends ``order`` to an engine."""

    def write_probe(self, instance: InstanceId) -> OutboundRequest:
        """Return the request that probes a target."""

    def read_order_outcome(self, head: ResponseHead) -> OrderOutcome:
        """Return the outcome that an engine's answer to an order states."""
