"""Checks of the roles and of the control peers."""

from collections import Counter

from jaylatch_core.checks.registry import register
from jaylatch_core.configuration import SHA256_PATTERN
from jaylatch_core.enums import Role
from jaylatch_core.findings import CheckMessage, error, warning
from jaylatch_core.settings import NodeSettings


@register
def check_roles(settings: NodeSettings) -> list[CheckMessage]:
    """A process needs a role, and each role once."""
    if not settings.roles:
        return [error("roles.E001", "roles", "no role is given", "give at least one role")]
    repeated = [role.value for role, many in Counter(settings.roles).items() if many > 1]
    text = f"given more than once: {', '.join(repeated)}"
    return [error("roles.E002", "roles", text, "name each role once")] if repeated else []


@register
def check_gateway(settings: NodeSettings) -> list[CheckMessage]:
    """The role gateway needs the dialect of a platform, which only its adapter has."""
    if Role.GATEWAY not in settings.roles:
        return []
    hint = "start the gateway by the program of the platform's adapter"
    return [error("roles.E009", "roles", "jaylatchd has no gateway of its own", hint)]


@register
def check_peers(settings: NodeSettings) -> list[CheckMessage]:
    """The control peers must be distinct, and an odd number tolerates the most losses."""
    peers = settings.control.peers
    subject = "control.peers"
    if not peers:
        return [error("roles.E003", subject, "there is none", "name every control instance")]
    found = []
    for what, values in (
        ("instance", [str(peer.instance) for peer in peers]),
        ("address", [peer.address for peer in peers]),
    ):
        for value, many in Counter(values).items():
            if many > 1:
                text = f"{what} {value!r} stands {many} times"
                found.append(error("roles.E004", subject, text, "name each peer once"))
    if len(peers) % 2 == 0:
        text = f"{len(peers)} peers tolerate no more losses than {len(peers) - 1}"
        found.append(warning("roles.W001", subject, text, "use an odd number of peers"))
    return found


@register
def check_own_peer(settings: NodeSettings) -> list[CheckMessage]:
    """A control instance must be among the peers, at the address at which it listens."""
    own = [peer for peer in settings.control.peers if peer.instance == settings.instance]
    is_control = Role.CONTROL in settings.roles
    if is_control and not own:
        text = f"instance {settings.instance!r} has the control role but is no peer"
        hint = "add it to control.peers everywhere, or take the control role away"
        return [error("roles.E005", "control.peers", text, hint)]
    if not is_control and own:
        text = f"instance {settings.instance!r} is a peer but has no control role"
        hint = "add 'control' to roles, or take it out of control.peers everywhere"
        return [error("roles.E006", "roles", text, hint)]
    if is_control and own[0].address != settings.stream:
        text = f"the peer's address is {own[0].address!r}, but stream is {settings.stream!r}"
        return [error("roles.E007", "stream", text, "make both the same")]
    return []


@register
def check_operators(settings: NodeSettings) -> list[CheckMessage]:
    """Token hashes must have the form of a SHA-256 digest; without any, no operator gets in."""
    if Role.ENTRY not in settings.roles:
        return []
    subject = "entry.operator_token_hashes"
    if not settings.entry.operator_token_hashes:
        hint = "add the SHA-256 hex digest of a token: printf %s TOKEN | sha256sum"
        return [warning("roles.W002", subject, "no operator can use this entry", hint)]
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
