"""Generates docs/reference/ from the code; ``--check`` only reports pages that are out of date."""

import ast
import os
import subprocess
import sys
from argparse import ArgumentParser
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from jaylatch_core import exceptions
from jaylatch_core.configuration import Configuration
from jaylatch_core.event_names import EventName
from jaylatch_core.log_records import RECORD_TYPES
from jaylatch_core.settings import NodeSettings
from jaylatch_node.entry.admission import STATUS_BY_DROP_REASON

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
INDEXES = {"how-to": "How to", "topics": "Topics", "design": "Design notes"}
SOURCES = sorted(ROOT.glob("packages/*/src/**/*.py"))
HELP_WIDTH = "96"
GENERATED_NOTE = "<!-- Made by tools/reference.py; do not edit. -->\n"
BOUNDS = (("gt", ">"), ("ge", ">="), ("lt", "<"), ("le", "<="), ("multiple_of", "multiple of"))
METRIC_KINDS = {"counter": "counter", "gauge": "gauge", "timer": "summary, seconds"}
METRIC_SUFFIXES = {"counter": "_total", "gauge": "", "timer": "_seconds"}
CHECK_LEVELS = {"error": "error", "warning": "warning"}


def markdown_table(headings: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a Markdown table."""
    lines = [headings, tuple("---" for _ in headings), *rows]
    cells = ([cell.replace("|", "\\|").replace("\n", " ") for cell in line] for line in lines)
    return "\n".join(f"| {' | '.join(line)} |" for line in cells) + "\n"


# Settings and configuration


def structure_page(title: str, intro: str, root: type[msgspec.Struct]) -> str:
    """Return the page of a TOML document, one section per table."""
    parts = [f"# {title}\n\n{GENERATED_NOTE}\n{intro}\n"]
    for path, structure in walk_structures(root, ""):
        parts.append(f"\n## {f'`{path}`' if path else 'Top level'}\n\n{description(structure)}\n\n")
        rows = [field_row(field) for field in msgspec.structs.fields(structure)]
        parts.append(markdown_table(("key", "type", "unit", "default", "bounds"), rows))
    return "".join(parts)


def walk_structures(
    root: type[msgspec.Struct], path: str
) -> Iterator[tuple[str, type[msgspec.Struct]]]:
    """Yield each structure of a document with its path, recursively."""
    yield path, root
    for field in msgspec.structs.fields(root):
        inner = msgspec.inspect.type_info(field.type)
        name = f"{path}.{field.encode_name}".strip(".")
        if isinstance(inner, msgspec.inspect.VarTupleType):
            inner = inner.item_type
            name = f"{name}[]"
        if isinstance(inner, msgspec.inspect.StructType):
            yield from walk_structures(inner.cls, name)


def field_row(field: msgspec.structs.FieldInfo) -> tuple[str, ...]:
    """Return the row of one key."""
    info = msgspec.inspect.type_info(field.type)
    unit = ""
    if isinstance(info, msgspec.inspect.Metadata):
        unit = (info.extra or {}).get("unit", "")
        info = info.type
    default = "required" if field.required else f"`{toml_value(field.default)}`"
    return f"`{field.encode_name}`", type_name(info), unit, default, bounds(info)


def type_name(info: msgspec.inspect.Type) -> str:
    """Return the TOML name of a key's type."""
    match info:
        case msgspec.inspect.EnumType(cls=choices):
            return "one of " + ", ".join(f"`{item.value}`" for item in choices)
        case msgspec.inspect.VarTupleType(item_type=item):
            return f"array of {type_name(item)}"
        case msgspec.inspect.StructType():
            return "table"
        case _:
            return type(info).__name__.removesuffix("Type").lower().replace("str", "string")


def bounds(info: msgspec.inspect.Type) -> str:
    """Return the bounds of a key's value."""
    found = [
        f"{sign} {getattr(info, name)}"
        for name, sign in BOUNDS
        if getattr(info, name, None) is not None
    ]
    for name, text in (("min_length", "at least {} characters"), ("max_length", "at most {}")):
        length = getattr(info, name, None)
        if length is not None:
            found.append(text.format(length))
    return ", ".join(found)


def toml_value(value: Any) -> str:
    """Return a default value as TOML."""
    match value:
        case msgspec.Struct():
            return "table of the defaults below"
        case tuple() if value and isinstance(value[0], msgspec.Struct):
            items = [msgspec.to_builtins(item) for item in value]
            return "[" + ", ".join(inline_table(item) for item in items) + "]"
        case tuple():
            return "[" + ", ".join(toml_value(item) for item in value) + "]"
        case str():
            return f'"{getattr(value, "value", value)}"'
        case bool():
            return str(value).lower()
        case _:
            return str(value)


def inline_table(item: dict[str, Any]) -> str:
    """Return a TOML inline table."""
    return "{ " + ", ".join(f"{key} = {toml_value(value)}" for key, value in item.items()) + " }"


def description(item: Any) -> str:
    """Return a docstring as Markdown text."""
    lines = (item.__doc__ or "").strip().splitlines()
    return "\n".join(line.strip() for line in lines).replace("``", "`")


# Pages generated from the source code


def find_calls(path: Path) -> Iterator[ast.Call]:
    """Yield every call in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Call):
            yield node


def literal_or_source(node: ast.expr | None) -> str:
    """Return the value of a literal, or the source of another expression."""
    if isinstance(node, ast.Constant):
        return str(node.value)
    return ast.unparse(node) if node is not None else ""


def called_name(call: ast.Call) -> str:
    """Return the last part of the name of the called function."""
    return call.func.attr if isinstance(call.func, ast.Attribute) else literal_or_source(call.func)


def metrics_page() -> str:
    """Return the page of all metrics."""
    rows = []
    for path in SOURCES:
        for call in find_calls(path):
            name = called_name(call)
            is_metric = name in METRIC_KINDS and len(call.args) >= 2
            if not is_metric or not isinstance(call.args[0], ast.Constant):
                continue
            labels = ", ".join(ast.literal_eval(call.args[2])) if len(call.args) > 2 else ""
            suffix = METRIC_SUFFIXES[name]
            full = f"`jaylatch_{literal_or_source(call.args[0]).removesuffix(suffix)}{suffix}`"
            rows.append((full, METRIC_KINDS[name], labels, literal_or_source(call.args[1])))
    intro = (
        "An entry serves its metrics at `/metrics` in the Prometheus text form; every process\n"
        "answers the stream message `ReadMetrics` with the same text.\n\n"
    )
    return f"# Metrics\n\n{GENERATED_NOTE}\n{intro}" + markdown_table(
        ("name", "kind", "labels", "meaning"), sorted(set(rows))
    )


def checks_page() -> str:
    """Return the page of all checks of settings and documents."""
    rows = []
    for path in SOURCES:
        for function in ast.walk(ast.parse(path.read_text())):
            if not isinstance(function, ast.FunctionDef):
                continue
            for call in ast.walk(function):
                if isinstance(call, ast.Call) and called_name(call) in CHECK_LEVELS and call.args:
                    identifier = literal_or_source(call.args[0])
                    meaning = (ast.get_docstring(function) or "").splitlines()
                    rows.append(
                        (identifier, CHECK_LEVELS[called_name(call)], " ".join(meaning[:1]))
                    )
    document_checks = {"SYNTAX", "UNKNOWN_KEY", "WRONG_VALUE", "MISSING_KEY", "UNREADABLE"}
    rows = [row for row in rows if "." in row[0] and row[0] not in document_checks]
    rows += [
        ("documents.E000", "error", "The file cannot be read."),
        ("documents.E001", "error", "The document is not TOML; the text names the line."),
        ("documents.E002", "error", "The key does not exist."),
        ("documents.E003", "error", "The value has the wrong type or is outside its bounds."),
        ("documents.E004", "error", "A required key is missing."),
    ]
    intro = (
        "`jaylatchd --check` and `jaylatch checks` run all of them and show every finding.\n"
        "An error prevents the start.\n\n"
    )
    return f"# Checks\n\n{GENERATED_NOTE}\n{intro}" + markdown_table(
        ("id", "level", "meaning"), sorted(set(rows))
    )


def events_page() -> str:
    """Return the page of all events."""
    rows = [(f"`{name.value}`", name.documentation) for name in EventName]
    return f"# Events\n\n{GENERATED_NOTE}\n" + markdown_table(("name", "meaning"), rows)


def errors_page() -> str:
    """Return the page of all failures and of the refusals sent to callers."""
    failures = [
        (f"`{name}`", description(item).splitlines()[0])
        for name, item in sorted(vars(exceptions).items())
        if isinstance(item, type)
        and issubclass(item, exceptions.Failure)
        and item is not exceptions.Failure
    ]
    refusals = sorted(set(refusal_rows()))
    intro = (
        "A caller's refusal is `application/problem+json`; its `title` is the code and its\n"
        "`outcome` states whether the request ran: `not_run`, `ran` or `unknown`.\n"
        "`as proven` means that the outcome depends on the proof that the agent has.\n\n"
        "## Refusals that callers see\n\n"
    )
    return (
        f"# Errors\n\n{GENERATED_NOTE}\n{intro}"
        + markdown_table(("code", "status", "outcome"), refusals)
        + "\n## Failures\n\n"
        + markdown_table(("name", "meaning"), failures)
    )


def refusal_rows() -> Iterator[tuple[str, ...]]:
    """Yield the code, status and outcome of each refusal of the node."""
    for path in SOURCES:
        for call in find_calls(path):
            values = [literal_or_source(item) for item in call.args]
            literal = [isinstance(item, ast.Constant) for item in call.args]
            match called_name(call):
                case "RequestRefused" if len(values) >= 4 and literal[2]:
                    yield f"`{values[2]}`", values[1], outcome_of(values[3])
                case "fail" if len(values) >= 2 and literal[0]:
                    yield f"`{values[0]}`", "502", outcome_of(values[1])
                case "_refuse" if len(values) >= 4 and literal[2]:
                    yield f"`{values[2]}`", "502", outcome_of(values[3])
    yield from not_started_rows()
    for reason, status in STATUS_BY_DROP_REASON.items():
        yield f"`{reason.value}`", str(status), "as proven"


def not_started_rows() -> Iterator[tuple[str, ...]]:
    """Yield a row for each reason for which an agent does not start an attempt."""
    for path in SOURCES:
        for function in ast.walk(ast.parse(path.read_text())):
            if isinstance(function, ast.FunctionDef) and function.name == "_refusal_code":
                for node in ast.walk(function):
                    if isinstance(node, ast.Return) and literal_or_source(node.value):
                        yield f"`{literal_or_source(node.value)}`", "502", "`not_run`"


def outcome_of(text: str) -> str:
    """Return an outcome as sent to callers; "as proven" if it is not a literal."""
    is_literal = text.startswith("Outcome.")
    return f"`{text.removeprefix('Outcome.').lower()}`" if is_literal else "as proven"


def commands_page() -> str:
    """Return the help of every command."""
    folder = ROOT / "packages/cli/src/jaylatch_cli/management/commands"
    names = sorted(path.stem for path in folder.glob("*.py") if path.stem != "__init__")
    parts = [f"# Commands\n\n{GENERATED_NOTE}"]
    parts += [
        help_section("jaylatchd", "jaylatch_node.daemon"),
        help_section("jaylatch", "jaylatch_cli.main"),
    ]
    parts += [help_section(f"jaylatch {name}", "jaylatch_cli.main", name) for name in names]
    return "".join(parts)


def help_section(title: str, module: str, *arguments: str) -> str:
    """Return the section of one command."""
    done = subprocess.run(
        [sys.executable, "-m", module, *arguments, "--help"],
        env={**os.environ, "COLUMNS": HELP_WIDTH},
        capture_output=True,
        text=True,
        check=True,
    )
    return f"\n## `{title}`\n\n```text\n{done.stdout.strip()}\n```\n"


def index_page(folder: str, title: str) -> str:
    """Return the index of a folder of pages, by their titles and first sentences."""
    rows = []
    for path in sorted((DOCS / folder).glob("*.md")):
        if path.name == "README.md":
            continue
        heading, _, rest = path.read_text().partition("\n")
        paragraphs = (part.strip() for part in rest.split("\n\n"))
        first = next(part for part in paragraphs if part and not part.startswith(("#", "<!--")))
        sentence = " ".join(first.split()).split(". ")[0].rstrip(".:") + "."
        rows.append((f"[{heading.removeprefix('# ')}]({path.name})", sentence))
    return f"# {title}\n\n{GENERATED_NOTE}\n" + markdown_table(("page", "first sentence"), rows)


def logs_page() -> str:
    """Return the page of the log records."""
    parts = [
        f"# Log records\n\n{GENERATED_NOTE}\n"
        "Each process logs JSON lines. Every line has `asctime`, `levelname`, `name`, `message`\n"
        "and `instance`; `message` is the kind of record, which determines the other fields.\n"
        "Each kind has a limit of lines per second, on average; lines above it are not written\n"
        "but counted in a `suppressed` line. `jaylatch explain` and `jaylatch logs summary` read\n"
        "these lines.\n"
    ]
    for kind in RECORD_TYPES:
        fields = [f"`{name}`" for name in kind.__struct_fields__]
        name = kind.__struct_config__.tag
        parts.append(f"\n## `{name}`\n\n{description(kind)}\n\n")
        parts.append(
            f"Fields: {', '.join(fields)}. At most {kind.lines_per_second:.0f} lines per second.\n"
        )
    return "".join(parts)


def pages() -> dict[str, str]:
    """Return every generated page by its file name."""
    settings = (
        "The daemon reads one TOML file; every key has a default. Unknown keys are refused.\n"
        "The checks of combinations are in [checks.md](checks.md)."
    )
    configuration = (
        "The document that operators replace as a whole with `jaylatch config apply`. Unknown\n"
        "keys are refused, and nothing is changed then."
    )
    return {
        **{f"{folder}/README.md": index_page(folder, title) for folder, title in INDEXES.items()},
        "reference/settings.md": structure_page("Settings of a process", settings, NodeSettings),
        "reference/configuration.md": structure_page("Configuration", configuration, Configuration),
        "reference/commands.md": commands_page(),
        "reference/events.md": events_page(),
        "reference/metrics.md": metrics_page(),
        "reference/errors.md": errors_page(),
        "reference/logs.md": logs_page(),
        "reference/checks.md": checks_page(),
    }


def main() -> int:
    """Write or check the pages; return 1 if the check fails."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    is_check = parser.parse_args().check
    stale = []
    for name, text in pages().items():
        path = DOCS / name
        if not path.exists() or path.read_text() != text:
            stale.append(name)
            if not is_check:
                path.write_text(text)
    if is_check and stale:
        print(f"not up to date: {', '.join(stale)}; run: make reference", file=sys.stderr)
    return 1 if is_check and stale else 0


if __name__ == "__main__":
    sys.exit(main())
