"""Checks of durations that must fit each other."""

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
    least = HEARTBEATS_PER_ELECTION_TIMEOUT * control.heartbeat_interval
    if control.election_timeout >= least:
        return []
    text = f"{control.election_timeout} s is under 3 heartbeats ({least:.3f} s)"
    return [error("timing.E001", "control.election_timeout", text, f"give at least {least:.3f}")]


@register
def check_lease(settings: NodeSettings) -> list[CheckMessage]:
    """A lease must outlive a few lost renewals, and the election of another leader."""
    lease = settings.lease
    found = []
    least = RENEWALS_PER_LEASE * lease.renew_interval
    if lease.duration < least:
        text = f"{lease.duration} s is under 3 renewals ({least:.3f} s)"
        found.append(error("timing.E002", "lease.duration", text, f"give at least {least:.3f}"))
    election = ELECTIONS_PER_LEASE * settings.control.election_timeout
    if lease.duration < election + lease.renew_interval:
        text = f"{lease.duration} s can lapse while another leader is elected"
        hint = f"give at least {election + lease.renew_interval:.3f}"
        found.append(warning("timing.W001", "lease.duration", text, hint))
    return found


@register
def check_member_timeout(settings: NodeSettings) -> list[CheckMessage]:
    """One late answer of a member must not end the group's work."""
    agent = settings.agent
    least = PROBES_PER_MEMBER_TIMEOUT * agent.probe_interval
    if Role.AGENT not in settings.roles or agent.member_timeout >= least:
        return []
    text = f"{agent.member_timeout} s is under 3 probes ({least:.3f} s)"
    return [error("timing.E003", "agent.member_timeout", text, f"give at least {least:.3f}")]
