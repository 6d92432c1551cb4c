"""Direct targets: registry, engine orders and the choice of a target for a request."""

from jaylatch_decisions.targets.choice import (
    TargetLoad,
    choose_target,
    list_unattempted,
    may_admit,
)
from jaylatch_decisions.targets.conditions import TargetConditions
from jaylatch_decisions.targets.orders import (
    CloseGroup,
    DrainGroup,
    EngineOrder,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
    plan_orders,
)
from jaylatch_decisions.targets.registry import (
    ProbeOutcome,
    ProbeVerdict,
    TargetRecord,
    TargetRegistry,
)
from jaylatch_decisions.targets.routes import RouteTable

__all__ = [
    "CloseGroup",
    "DrainGroup",
    "EngineOrder",
    "JoinGroup",
    "LeaveGroup",
    "OpenGroup",
    "ProbeOutcome",
    "ProbeVerdict",
    "RouteTable",
    "StageModel",
    "TargetConditions",
    "TargetLoad",
    "TargetRecord",
    "TargetRegistry",
    "choose_target",
    "list_unattempted",
    "may_admit",
    "plan_orders",
]
