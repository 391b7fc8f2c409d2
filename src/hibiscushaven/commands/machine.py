"""Options of the commands that run a process of an entry VM."""

from collections.abc import Callable
from typing import Any

import click

__all__ = ["machine_options"]

_OPTIONS = (
    click.option(
        "--memory-mb",
        type=click.FloatRange(min=1),
        envvar="HIBISCUSHAVEN_MEMORY_MB",
        help="Memory of the process in MB; by default that of a small VM, 192.",
    ),
    click.option(
        "--max-descriptors",
        type=click.IntRange(min=1),
        envvar="HIBISCUSHAVEN_MAX_DESCRIPTORS",
        help="Descriptors of the process; by default as many as the system allows.",
    ),
)


def machine_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options ``memory_mb`` and ``max_descriptors`` to a command."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command
