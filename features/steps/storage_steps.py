"""Steps on the file of a replicated log."""

from behave import given, then, when
from behave.runner import Context
from returns.pipeline import is_successful

from jaylatch_core.exceptions import StorageCorrupt
from jaylatch_core.ids import InstanceId, LogIndex, Term
from jaylatch_core.messages.consensus import HardState, LogEntry
from jaylatch_node.storage import LogFile


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(LogIndex(index), Term(term), b"command" * index)


@given("a log file with {number:d} entries")
def step_file(context: Context, number: int) -> None:
    context.path = context.folder / "log"
    log, _ = LogFile.open(context.path).unwrap()
    log.append(HardState(Term(1), InstanceId("a")), [])
    for index in range(1, number + 1):
        assert is_successful(log.append(None, [entry(index)]))
    log.close()


@when("nothing happens to it")
def step_nothing(context: Context) -> None:
    assert context.path.exists()


@when("its last {number:d} bytes are lost")
def step_truncate(context: Context, number: int) -> None:
    data = context.path.read_bytes()
    context.path.write_bytes(data[:-number])


@when("{number:d} bytes of noise are appended")
def step_noise(context: Context, number: int) -> None:
    with context.path.open("ab") as file:
        file.write(b"\xc1" * number)


@when("a byte of its first record is flipped")
def step_flip(context: Context) -> None:
    data = bytearray(context.path.read_bytes())
    data[8] ^= 0xFF
    context.path.write_bytes(bytes(data))


@when("an entry replaces entry {index:d}")
def step_replace(context: Context, index: int) -> None:
    log, _ = LogFile.open(context.path).unwrap()
    log.append(None, [entry(index, term=2)])
    log.close()


@then("opening it gives {number:d} entries")
def step_entries(context: Context, number: int) -> None:
    log, stored = LogFile.open(context.path).unwrap()
    log.close()
    assert len(stored.entries) == number, stored
    assert stored.hard_state == HardState(Term(1), InstanceId("a"))


@then("opening it gives storage corrupt")
def step_corrupt(context: Context) -> None:
    opened = LogFile.open(context.path)
    assert not is_successful(opened)
    assert isinstance(opened.failure(), StorageCorrupt)
