"""Steps on the groups that retire, as the planner decides it from what is known."""

import re

from behave import given, then, use_step_matcher
from behave.runner import Context

from jaylatch_core.configuration import (
    Configuration,
    GroupWeights,
    ModelSpecification,
    PresetPolicy,
)
from jaylatch_core.enums import GroupState
from jaylatch_core.ids import Epoch, FailureDomainId, GroupId, InstanceId
from jaylatch_core.messages.control import Group
from jaylatch_decisions.groups import InstanceFacts, PlanInput, retiring_groups

MODEL = re.compile(r"(\w)=(\d)(?:x(\d))?")

use_step_matcher("re")


@given(r'the configured models "(?P<models>[^"]*)" and (?P<spares>\d) spares a domain')
def step_models(context: Context, models: str, spares: str) -> None:
    specifications = tuple(
        ModelSpecification(name, int(size), int(groups or 0))
        for name, size, groups in MODEL.findall(models)
    )
    context.configuration = Configuration(
        models=specifications, weights=GroupWeights(group_downtime=10.0)
    )
    context.policy = PresetPolicy(spares_per_domain=int(spares))


@given(r'the known groups "(?P<groups>[^"]*)" and the free instances "(?P<free>[^"]*)"')
def step_groups(context: Context, groups: str, free: str) -> None:
    known, facts, expired = [], [], set()
    for number, text in enumerate(groups.split(";"), start=1):
        model, *words = text.split()
        marks = "" if words[-1][-1].isalpha() else words.pop()
        group = Group(
            GroupId(str(number)),
            Epoch(number),
            model,
            tuple(InstanceId(word) for word in words),
            GroupState.ACTIVE,
        )
        known.append(group)
        expired |= {group.id} if "~" in marks else set()
        for member in group.members:
            is_lost = "!" in marks and member == group.members[-1]
            facts.append(make_facts(member, Epoch(number), not is_lost, "*" in marks))
    facts += [make_facts(InstanceId(name), Epoch(0), True, False) for name in free.split()]
    context.retiring = retiring_groups(
        PlanInput(
            context.configuration,
            context.policy,
            tuple(known),
            {},
            tuple(facts),
            expired=frozenset(expired),
        )
    )


def make_facts(
    instance: InstanceId, epoch: Epoch, is_usable: bool, is_serving: bool
) -> InstanceFacts:
    return InstanceFacts(
        instance, FailureDomainId(instance[0]), is_usable, False, epoch, is_serving, 0
    )


@then(r'the groups "(?P<retiring>[^"]*)" retire')
def step_retiring(context: Context, retiring: str) -> None:
    expected = set() if retiring == "none" else set(retiring.split())
    assert context.retiring == expected, context.retiring
