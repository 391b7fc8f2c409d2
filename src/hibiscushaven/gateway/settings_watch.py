"""Changes of the settings file while the gateway runs."""

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from .settings import GatewaySettings, load_gateway_settings

__all__ = ["SettingsWatch"]

_LOG = logging.getLogger(__name__)

# Time between two looks at the file; one system call each, and settings change rarely.
LOOK_INTERVAL_S = 1.0


class SettingsWatch:
    """Reads the settings again when their file has changed, with a signal or without.

    Explanation
    ===========

    A file that cannot be read or has errors changes nothing: the gateway goes on with the
    settings that it has, and the problems are logged once.

    :param settings: the settings in force.
    :param adopt: called with changed settings.
    """

    def __init__(
        self, path: str, settings: GatewaySettings, adopt: Callable[[GatewaySettings], None]
    ) -> None:
        self._path = Path(path)
        self._settings = settings
        self._adopt = adopt
        self._stamp = self._read_stamp()

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(LOOK_INTERVAL_S)
            self.look()

    def look(self) -> None:
        """Read the settings again if the file is another one than before."""
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self.read_again()

    def read_again(self) -> None:
        """Read the settings again and use those that changed."""
        result = load_gateway_settings(str(self._path))
        if result.is_error():
            problems = [str(problem) for problem in result.error]
            _LOG.error("settings not adopted", extra={"problems": problems})
            return
        is_changed = result.ok != self._settings
        _LOG.info("settings read again", extra={"is_changed": is_changed})
        if is_changed:
            self._settings = result.ok
            self._adopt(result.ok)

    def _read_stamp(self) -> tuple[int, ...] | None:
        """Return what tells two states of the file apart, or ``None`` while it is missing."""
        try:
            found = self._path.stat()
        except OSError as error:
            _LOG.debug("settings file not found", extra={"why": str(error)})
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns
