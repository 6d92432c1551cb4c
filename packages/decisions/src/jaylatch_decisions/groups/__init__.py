"""Formation, repair and dissolution of replica groups."""

from jaylatch_decisions.groups.planner import InstanceFacts, PlanInput, plan_groups

__all__ = ["InstanceFacts", "PlanInput", "plan_groups"]
