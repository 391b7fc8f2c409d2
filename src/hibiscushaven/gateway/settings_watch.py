"""Reload of the settings file while the gateway runs."""

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from .settings import GatewaySettings, load_gateway_settings

__all__ = ["SettingsWatch"]

_LOG = logging.getLogger(__name__)

# Interval between checks of the file: each costs one system call, and settings change rarely.
CHECK_INTERVAL_S = 1.0


class SettingsWatch:
    """Reloads the settings when their file changes, or on request.

    Explanation
    ===========

    If the file cannot be read or has errors, the previous settings stay in force, and the
    problems are logged once per change of the file.

    :param path: the settings file.
    :param settings: the current settings.
    :param on_change: called with changed settings.
    """

    def __init__(
        self, path: str, settings: GatewaySettings, on_change: Callable[[GatewaySettings], None]
    ) -> None:
        self._path = Path(path)
        self._settings = settings
        self._on_change = on_change
        self._signature = self._read_signature()

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Reload the settings if the file has changed since the last check."""
        signature = self._read_signature()
        if signature != self._signature:
            self._signature = signature
            self.reload()

    def reload(self) -> None:
        """Reload the settings, and apply them if they differ from the current ones."""
        result = load_gateway_settings(str(self._path))
        if result.is_error():
            problems = [str(problem) for problem in result.error]
            _LOG.error(
                "settings file rejected, previous settings stay in force",
                extra={"problems": problems},
            )
            return
        is_changed = result.ok != self._settings
        _LOG.info("settings reloaded", extra={"is_changed": is_changed})
        if is_changed:
            self._settings = result.ok
            self._on_change(result.ok)

    def _read_signature(self) -> tuple[int, ...] | None:
        """Return inode, size and modification time of the file, or ``None`` if inaccessible."""
        try:
            status = self._path.stat()
        except OSError as error:
            _LOG.debug("cannot access the settings file", extra={"why": str(error)})
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
