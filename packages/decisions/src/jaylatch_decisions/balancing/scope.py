"""Where choice by expected work is in force."""

from jaylatch_core.deployment import Deployment
from jaylatch_core.enums import Balancing


def uses_expected_work(setting: Balancing, deployment: Deployment) -> bool:
    """Return whether gateways choose by expected work.

    It is so by the setting, and in deployments with scarce capacity: those with services whose
    requests wait by rank, or whose targets may be cold.
    """
    return (
        setting is Balancing.EXPECTED_WORK
        or bool(deployment.ranked_services())
        or any(service.may_be_cold for service in deployment.services)
    )
