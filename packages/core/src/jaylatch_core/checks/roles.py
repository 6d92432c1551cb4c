"""Checks of the roles and of the control peers."""

from collections import Counter

from jaylatch_core.checks.registry import register
from jaylatch_core.configuration import SHA256_PATTERN
from jaylatch_core.enums import Role
from jaylatch_core.findings import CheckMessage, error, warning
from jaylatch_core.settings import NodeSettings


@register
def check_roles(settings: NodeSettings) -> list[CheckMessage]:
    """A process must have at least one role and list each role once."""
    if not settings.roles:
        return [error("roles.E001", "roles", "no role is given", "give at least one role")]
    repeated = [role.value for role, count in Counter(settings.roles).items() if count > 1]
    text = f"given more than once: {', '.join(repeated)}"
    return [error("roles.E002", "roles", text, "list each role once")] if repeated else []


@register
def check_gateway(settings: NodeSettings) -> list[CheckMessage]:
    """The gateway role needs the protocol of a platform, which only its adapter implements."""
    if Role.GATEWAY not in settings.roles:
        return []
    hint = "start the gateway with the program of the platform's adapter"
    return [error("roles.E009", "roles", "jaylatchd does not provide the gateway role", hint)]


@register
def check_peers(settings: NodeSettings) -> list[CheckMessage]:
    """The control peers must be distinct, and an odd number tolerates the most losses."""
    peers = settings.control.peers
    subject = "control.peers"
    if not peers:
        return [
            error("roles.E003", subject, "no control peer is given", "list every control instance")
        ]
    found = []
    for label, values in (
        ("instance", [str(peer.instance) for peer in peers]),
        ("address", [peer.address for peer in peers]),
    ):
        for value, count in Counter(values).items():
            if count > 1:
                text = f"{label} {value!r} is listed {count} times"
                found.append(error("roles.E004", subject, text, "list each peer once"))
    if len(peers) % 2 == 0:
        text = f"{len(peers)} peers tolerate no more losses than {len(peers) - 1}"
        found.append(warning("roles.W001", subject, text, "use an odd number of peers"))
    return found


@register
def check_own_peer(settings: NodeSettings) -> list[CheckMessage]:
    """A control instance must be a control peer, at its stream address; no other may be one."""
    own = [peer for peer in settings.control.peers if peer.instance == settings.instance]
    is_control = Role.CONTROL in settings.roles and settings.control.keeps_log
    if is_control and not own:
        text = f"instance {settings.instance!r} has the control role but is not a control peer"
        hint = "add it to control.peers on every instance, or remove its control role"
        return [error("roles.E005", "control.peers", text, hint)]
    if not is_control and own:
        text = f"instance {settings.instance!r} is a control peer but keeps no control log"
        hint = (
            "add 'control' to roles and set control.keeps_log, or remove it from control.peers on"
            " every instance"
        )
        return [error("roles.E006", "roles", text, hint)]
    if is_control and own[0].address != settings.stream:
        text = f"the peer's address is {own[0].address!r}, but stream is {settings.stream!r}"
        return [error("roles.E007", "stream", text, "set both to the same address")]
    return []


@register
def check_operators(settings: NodeSettings) -> list[CheckMessage]:
    """Operator token hashes must be SHA-256 hex digests; an entry should have at least one."""
    if Role.ENTRY not in settings.roles:
        return []
    subject = "entry.operator_token_hashes"
    if not settings.entry.operator_token_hashes:
        hint = "add the SHA-256 hex digest of a token: printf %s TOKEN | sha256sum"
        return [warning("roles.W002", subject, "no token hash is given", hint)]
    return [
        error(
            "roles.E008",
            subject,
            f"{value!r} is not a SHA-256 hex digest",
            "give the 64 hexadecimal digits of: printf %s TOKEN | sha256sum",
        )
        for value in settings.entry.operator_token_hashes
        if not is_digest(value)
    ]


def is_digest(value: str) -> bool:
    """Return whether ``value`` has the form of a SHA-256 hex digest."""
    return SHA256_PATTERN.fullmatch(value) is not None
