"""Main routine of the gateway on the platform."""

import asyncio
import gc
import logging
import signal

from hibiscushaven.gateway import GatewayDaemon
from hibiscushaven.gateway.settings import GatewaySettings
from hibiscushaven.gateway.settings_watch import SettingsWatch
from hibiscushaven.logs import BoundedHandler, configure_logging
from hibiscushaven.process import (
    MachineLimits,
    SystemClock,
    keep_running,
    map_large_blocks,
    on_stop,
    spawn,
)

from .dialects import PlatformBackends, PlatformCallers, PlatformDirectory
from .store import StoreClient

__all__ = ["run_gateway"]


async def run_gateway(settings: GatewaySettings, path: str, machine: MachineLimits) -> None:
    """Run the gateway until SIGTERM.

    :param path: path of the settings file, which is reloaded when it changes and on SIGHUP.
    :param machine: memory and descriptors of the process.
    """
    map_large_blocks()
    handler = BoundedHandler(lines_per_s=settings.log_lines_per_s)
    configure_logging(settings.log_level, "json", settings.options.name, handler)
    backends = PlatformBackends()
    daemon = GatewayDaemon(
        settings.options,
        StoreClient(settings.store_at),
        PlatformCallers(),
        backends,
        backends,
        PlatformDirectory(),
        SystemClock(),
        machine,
    )
    stopping = asyncio.Event()
    on_stop(stopping.set)

    def apply_settings(changed: GatewaySettings) -> None:
        logging.getLogger().setLevel(changed.log_level.upper())
        handler.lines_per_s = changed.log_lines_per_s
        daemon.apply_options(changed.options)

    watch = SettingsWatch(path, settings, apply_settings)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, watch.reload)
    await daemon.start()
    # The file may have changed since it was read, and the signal was ignored until now.
    watch.reload()
    watching = spawn("settings", keep_running("watch of the settings", watch.run))
    # Objects allocated at the start live as long as the process; later collections skip them.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await daemon.stop()
    watching.cancel()
