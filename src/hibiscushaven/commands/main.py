"""The ``hibiscushaven`` command and its subcommands."""

import click

from hibiscushaven import __version__

from .calls import lookup, metrics, request, status
from .demo import demo
from .document import document
from .entry import entry
from .standin import standin

__all__ = ["main"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Steer traffic between callers and backend servers.

    Commands that call an entry VM take its address from --entry or HIBISCUSHAVEN_ENTRY, and a
    bearer token from --token-file or HIBISCUSHAVEN_TOKEN.
    """


for _command in (demo, document, entry, lookup, metrics, request, standin, status):
    main.add_command(_command)
