"""Checks of durations that depend on each other."""

from jaylatch_core.checks.registry import register
from jaylatch_core.enums import Role
from jaylatch_core.findings import CheckMessage, error, warning
from jaylatch_core.settings import NodeSettings

HEARTBEATS_PER_ELECTION_TIMEOUT = 3
RENEWALS_PER_LEASE = 3
PROBES_PER_MEMBER_TIMEOUT = 3
ELECTIONS_PER_LEASE = 2


@register
def check_election(settings: NodeSettings) -> list[CheckMessage]:
    """One late heartbeat must not start an election."""
    control = settings.control
    minimum = HEARTBEATS_PER_ELECTION_TIMEOUT * control.heartbeat_interval
    if control.election_timeout >= minimum:
        return []
    text = f"{control.election_timeout} s is under 3 heartbeats ({minimum:.3f} s)"
    return [error("timing.E001", "control.election_timeout", text, f"give at least {minimum:.3f}")]


@register
def check_lease(settings: NodeSettings) -> list[CheckMessage]:
    """A lease must last through a few lost renewals and the election of another leader."""
    lease = settings.lease
    found = []
    minimum = RENEWALS_PER_LEASE * lease.renew_interval
    if lease.duration < minimum:
        text = f"{lease.duration} s is under 3 renewals ({minimum:.3f} s)"
        found.append(error("timing.E002", "lease.duration", text, f"give at least {minimum:.3f}"))
    election = ELECTIONS_PER_LEASE * settings.control.election_timeout
    if lease.duration < election + lease.renew_interval:
        text = f"a lease of {lease.duration} s can expire while another leader is elected"
        hint = f"give at least {election + lease.renew_interval:.3f}"
        found.append(warning("timing.W001", "lease.duration", text, hint))
    return found


@register
def check_rotation(settings: NodeSettings) -> list[CheckMessage]:
    """A planned stop must leave time for the requests that arrive during the rotation."""
    found = []
    for role, name in ((Role.ENTRY, "entry"), (Role.GATEWAY, "gateway")):
        stop = getattr(settings, name)
        if role in settings.roles and stop.rotation >= stop.grace:
            text = f"{stop.rotation} s is not under the grace of {stop.grace} s"
            found.append(error("timing.E004", f"{name}.rotation", text, "give a shorter rotation"))
    return found


@register
def check_member_timeout(settings: NodeSettings) -> list[CheckMessage]:
    """One late answer of a member must not break the group."""
    agent = settings.agent
    minimum = PROBES_PER_MEMBER_TIMEOUT * agent.probe_interval
    if Role.AGENT not in settings.roles or agent.member_timeout >= minimum:
        return []
    text = f"{agent.member_timeout} s is under 3 probes ({minimum:.3f} s)"
    return [error("timing.E003", "agent.member_timeout", text, f"give at least {minimum:.3f}")]
