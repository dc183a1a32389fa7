"""The process of a courier in service: start, signals and reload of the configuration."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

from hopmill import document as doc
from hopmill import logs
from hopmill.net.config import Config, ConfigError, Source, load, options
from hopmill.net.host import Host
from hopmill.net.upgrade import FolderOwnership, HandoverPayload, acquire_ownership

log = logs.part("courier")
config_log = logs.part("config")
# Paths and path prefixes that SIGHUP applies; other changes need a restart.
RELOADABLE_PATHS = ("discovery", "connections.", "log.")


class Reloader:
    """Applies the configuration file again on SIGHUP.

    An error in the file leaves the running configuration as it is, except for the address of discovery.
    That is read separately, so an error elsewhere in the platform's file keeps no courier at an old address.
    """

    def __init__(self, host: Host, source: Source) -> None:
        self.host, self.source = host, source
        self.document = source.read()[0]

    def __call__(self) -> None:
        """Reads the file again, applies what can change and logs what needs a restart."""
        try:
            self._apply(self.source.read()[0])
        except ConfigError as error:
            config_log.error("config.not_used", error=error)
        try:
            address = self.source.discovery()
        except ConfigError as error:
            config_log.error("config.not_used", error=error)
            return
        config_log.info("config.discovery", address="{}:{}".format(*address))
        self.host.move_discovery(address)

    def _apply(self, document: doc.Document) -> None:
        for path, before, after in doc.changes(self.document, document):
            if path != "seed":  # differs at each start
                event = "config.changed" if path.startswith(RELOADABLE_PATHS) else "config.needs_restart"
                config_log.info(event, path=path, before=before, after=after)
        self.document = document
        configure_logs(document.log)
        self.host.set_options(options(document))
        if self.host.active_policy:
            self.host.active_policy.on_file_reloaded(document)


def configure_logs(settings: doc.Log) -> None:
    """Applies the `[log]` table."""
    logs.configure(settings.format, settings.level, settings.levels, settings.lines_per_s)


async def _serve(
    config: Config, source: Source, ownership: FolderOwnership, payload: HandoverPayload | None
) -> None:
    loop = asyncio.get_running_loop()
    host = Host(loop, config, ownership, payload)
    loop.add_signal_handler(signal.SIGTERM, host.restart.terminate)
    loop.add_signal_handler(signal.SIGINT, host.restart.terminate)
    loop.add_signal_handler(signal.SIGHUP, Reloader(host, source))
    port = host.start()
    gc.collect()
    gc.freeze()  # start-up objects live as long as the process: full collections skip them
    log.info("ready", name=config.name, port=port, restored=len(host.journal.messages))
    await host.restart.closed
    host.close()


def run(file: Path | None = None) -> int:
    """Serves until SIGTERM or SIGINT.

    Returns the exit status: 2 for a bad configuration, 1 if a file or a socket can't be opened.
    """
    source = Source(os.environ, file)
    try:
        config = load(os.environ, file)
    except ConfigError as error:
        print(f"hopmill: {error}", file=sys.stderr)
        return 2
    configure_logs(config.log)
    try:
        ownership, payload = acquire_ownership(config.state, config.listen_fd is not None)
        asyncio.run(_serve(config, source, ownership, payload))
    except OSError as error:
        print(f"hopmill: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
