"""The ``hibiscushaven`` command and its subcommands."""

from importlib import import_module

import click

from hibiscushaven import __version__

__all__ = ["main"]

# Module in this package and function of each command. Commands are imported on use, since the
# start-up of a daemon counts towards the resources of its VM.
_COMMANDS = {
    "demo": ("demo", "demo"),
    "document": ("document", "document"),
    "entry": ("entry", "entry"),
    "explain": ("explain", "explain"),
    "gateway": ("gateway", "gateway"),
    "lookup": ("calls", "lookup"),
    "metrics": ("calls", "metrics"),
    "request": ("calls", "request"),
    "standin": ("standin", "standin"),
    "status": ("calls", "status"),
}


class _LazyGroup(click.Group):
    """A command group that imports its commands on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in _COMMANDS:
            return None
        module, name = _COMMANDS[cmd_name]
        return getattr(import_module(f"hibiscushaven.commands.{module}"), name)


@click.command(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Route traffic between callers and backend servers.

    Commands that call an entry VM take its address from --entry or HIBISCUSHAVEN_ENTRY, and a
    bearer token from --token-file or HIBISCUSHAVEN_TOKEN.
    """
