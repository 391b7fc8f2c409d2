"""Reading of settings files."""

from pathlib import Path

from expression import Error, Result

from hibiscushaven.ini import IniProblem, read_source

from .deployment import (
    Deployment,
    is_deployment,
    parse_deployment,
    settings_for,
)
from .vm import Settings, parse_settings

__all__ = ["load_deployment", "load_settings"]

Problems = tuple[IniProblem, ...]


def load_settings(path: str, vm: str | None = None) -> Result[Settings, Problems]:
    """Read the settings of a VM from its own file or from a deployment file.

    :param vm: name of the VM in a deployment file; ``None`` for the VM's own file.
    """
    return read_source(path).bind(lambda source: _parse(source, path, vm))


def load_deployment(path: str) -> Result[Deployment, Problems]:
    """Read and parse a deployment file."""
    return read_source(path).bind(lambda source: parse_deployment(source, Path(path).parent))


def _parse(source: str, path: str, vm: str | None) -> Result[Settings, Problems]:
    if not is_deployment(source):
        if vm is not None:
            return Error((IniProblem("file", "", path, "a deployment file, since a VM is named"),))
        return parse_settings(source)
    if vm is None:
        return Error((IniProblem("vm", "name", None, "the name of a VM of the deployment"),))
    return parse_deployment(source, Path(path).parent).bind(
        lambda deployment: settings_for(deployment, vm)
    )
