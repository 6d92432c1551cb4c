"""Formation, repair and dissolution of replica groups; staging and warm-up of free instances."""

from jaylatch_decisions.groups.conversion import Conversion, plan_conversion
from jaylatch_decisions.groups.evacuation import (
    evacuated_groups,
    held_groups,
    remaining_instances,
)
from jaylatch_decisions.groups.facts import InstanceFacts, PlanInput, outdated_groups
from jaylatch_decisions.groups.loads import LoadPermit, LoadRequest, grant_load_permits
from jaylatch_decisions.groups.orders import OrderGate, OrderTiming
from jaylatch_decisions.groups.planner import plan_groups
from jaylatch_decisions.groups.retirement import retiring_groups
from jaylatch_decisions.groups.spanning import groups_to_recall
from jaylatch_decisions.groups.staging import plan_staging
from jaylatch_decisions.groups.supply import ModelSupply, count_supply, short_models
from jaylatch_decisions.groups.warming import plan_warm_ups

__all__ = [
    "Conversion",
    "InstanceFacts",
    "LoadRequest",
    "OrderGate",
    "OrderTiming",
    "LoadPermit",
    "ModelSupply",
    "PlanInput",
    "count_supply",
    "evacuated_groups",
    "grant_load_permits",
    "groups_to_recall",
    "held_groups",
    "outdated_groups",
    "plan_conversion",
    "plan_groups",
    "plan_staging",
    "plan_warm_ups",
    "remaining_instances",
    "retiring_groups",
    "short_models",
]
