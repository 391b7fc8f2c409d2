"""The gateway with its adapter to the platform."""

import asyncio
import gc
import logging
import signal

from hibiscushaven.gateway import GatewayDaemon
from hibiscushaven.gateway.settings import GatewaySettings, load_gateway_settings
from hibiscushaven.logs import BoundedHandler, configure_logs
from hibiscushaven.process import SystemClock, on_stop

from .dialects import PlatformBackends, PlatformCallers, PlatformDirectory
from .store import StoreClient

__all__ = ["run_gateway"]

_LOG = logging.getLogger(__name__)


async def run_gateway(settings: GatewaySettings, path: str) -> None:
    """Run the gateway until SIGTERM.

    :param path: settings file, which is read again at SIGHUP.
    """
    handler = BoundedHandler(lines_per_s=settings.log_lines_per_s)
    configure_logs(settings.log_level, "json", settings.options.name, handler)
    backends = PlatformBackends()
    daemon = GatewayDaemon(
        settings.options,
        StoreClient(settings.store_at),
        PlatformCallers(),
        backends,
        backends,
        PlatformDirectory(),
        SystemClock(),
    )
    stopping = asyncio.Event()
    on_stop(stopping.set)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _check_again, settings, path)
    await daemon.start()
    # What the start allocated lives as long as the process.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await daemon.stop()


def _check_again(settings: GatewaySettings, path: str) -> None:
    """Read the settings again and log what differs; addresses need a restart."""
    result = load_gateway_settings(path)
    if result.is_error():
        problems = [str(problem) for problem in result.error]
        _LOG.error("settings not adopted", extra={"problems": problems})
        return
    read = result.ok
    logging.getLogger().setLevel(read.log_level.upper())
    _LOG.info("settings read again", extra={"is_changed": read != settings})
