"""Steps that test the replicated control state."""

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.configuration import Configuration
from jaylatch_core.enums import DrainScope, Preset
from jaylatch_core.exceptions import GenerationConflict
from jaylatch_core.ids import CommandId, Epoch, Generation, GroupId, InstanceId, PromptPartId
from jaylatch_core.messages.control import (
    ApplyConfiguration,
    CommitPreset,
    ConfirmRelease,
    ControlCommand,
    DissolveGroup,
    FormGroup,
    PreparePreset,
    QuarantineParts,
    RepairGroup,
    SetDrain,
)
from jaylatch_decisions.control import ControlState
from jaylatch_decisions.control.state import ControlResult

GROUP = GroupId("m-1")


def parse_command(text: str) -> ControlCommand:
    """Parse a command written as in the feature's table."""
    verb, *words = text.split()
    match verb:
        case "apply":
            return ApplyConfiguration(
                CommandId(words[0]), Generation(int(words[1])), Configuration()
            )
        case "preset":
            return PreparePreset(CommandId(words[0]), Generation(int(words[1])), Preset(words[2]))
        case "commit":
            return CommitPreset(Generation(int(words[0])))
        case "form":
            return FormGroup("m", tuple(InstanceId(word) for word in words))
        case "repair":
            members = tuple(InstanceId(word) for word in words[1:])
            return RepairGroup(GROUP, Epoch(int(words[0])), members)
        case "dissolve":
            return DissolveGroup(GROUP, Epoch(int(words[0])))
        case "release":
            return ConfirmRelease(InstanceId(words[0]), Epoch(int(words[1])))
        case "drain":
            return SetDrain(CommandId(words[0]), DrainScope(words[1]), words[2], True)
        case "quarantine":
            return QuarantineParts(tuple(PromptPartId(word) for word in words))
        case _:
            raise ValueError(f"unknown command {text!r}")


def describe_answer(result: ControlResult) -> str:
    if is_successful(result):
        return f"accepted {result.unwrap().generation}"
    failure = result.failure()
    return f"conflict {failure.current}" if isinstance(failure, GenerationConflict) else "refused"


@given('a control state after "{history}"')
def step_history(context: Context, history: str) -> None:
    context.state = ControlState()
    for text in history.split(";"):
        context.state.apply(parse_command(text.strip()))


@when("the state is dumped and loaded")
def step_dump(context: Context) -> None:
    context.restored = ControlState.load(context.state.dump())


@then('both states answer "{command}" with "{answer}"')
def step_answers(context: Context, command: str, answer: str) -> None:
    for state in (context.state, context.restored):
        found = describe_answer(state.apply(parse_command(command)))
        assert found == answer, f"{found!r} is not {answer!r}"


@then("both states dump the same bytes")
def step_same_dump(context: Context) -> None:
    assert context.state.dump() == context.restored.dump()
