"""Checks of the files that a process needs."""

import os
from pathlib import Path

from jaylatch_core.checks.registry import register
from jaylatch_core.enums import Role
from jaylatch_core.findings import CheckMessage, error
from jaylatch_core.settings import NodeSettings


@register
def check_data_folder(settings: NodeSettings) -> list[CheckMessage]:
    """A control instance must be able to write its logs."""
    if Role.CONTROL not in settings.roles:
        return []
    folder = Path(settings.control.data_folder)
    existing = next(item for item in (folder, *folder.absolute().parents) if item.exists())
    if existing.is_dir() and os.access(existing, os.W_OK | os.X_OK):
        return []
    text = f"{str(folder)!r} cannot be written ({str(existing)!r} is not a writable folder)"
    hint = "give a folder on the instance's disk to which the process can write"
    return [error("storage.E001", "control.data_folder", text, hint)]


@register
def check_initial_configuration(settings: NodeSettings) -> list[CheckMessage]:
    """The initial configuration file, if set, must be readable."""
    path = settings.control.initial_configuration
    if Role.CONTROL not in settings.roles or not path or os.access(path, os.R_OK):
        return []
    text = f"{path!r} cannot be read"
    hint = "give the path of a configuration document, or remove the setting"
    return [error("storage.E002", "control.initial_configuration", text, hint)]
