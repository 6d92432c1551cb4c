"""Snapshot format of the control state."""

import msgspec

from jaylatch_core.configuration import Configuration
from jaylatch_core.deployment import NO_DEPLOYMENT, Deployment
from jaylatch_core.enums import DrainScope
from jaylatch_core.exceptions import CommandRefused, GenerationConflict
from jaylatch_core.ids import CommandId, Epoch, Generation, InstanceId, PromptPartId
from jaylatch_core.messages.control import (
    CommandAccepted,
    ConfigurationRecord,
    EvacuationOrder,
    Group,
)
from jaylatch_core.messages.membership import PresetState
from jaylatch_core.messages.targets import TargetDeparture


class RememberedResult(msgspec.Struct, frozen=True):
    """Result of an operator's command, stored so that a resent command gets the same answer."""

    command: CommandId
    result: CommandAccepted | CommandRefused | GenerationConflict


class ControlSnapshot(msgspec.Struct, frozen=True):
    """Complete content of a ``ControlState``; ``results`` are oldest first."""

    configuration: Configuration
    generation: Generation
    preset: PresetState
    groups: tuple[Group, ...]
    occupied: dict[InstanceId, Epoch]
    drains: tuple[tuple[DrainScope, str], ...]
    last_epoch: Epoch
    results: tuple[RememberedResult, ...]
    history: tuple[ConfigurationRecord, ...] = ()
    preset_operator: str = ""
    deployment: Deployment = Deployment(NO_DEPLOYMENT)
    published: bytes = b""
    quarantined_parts: tuple[PromptPartId, ...] = ()
    evacuations: tuple[EvacuationOrder, ...] = ()
    drain_generation: Generation = Generation(0)
    departures: tuple[TargetDeparture, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ControlSnapshot)


def encode_snapshot(snapshot: ControlSnapshot) -> bytes:
    """Return the MessagePack form of ``snapshot``."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> ControlSnapshot:
    """Parse a snapshot. Raises ``msgspec.DecodeError`` for other bytes."""
    return _decoder.decode(data)
