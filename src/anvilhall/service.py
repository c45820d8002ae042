"""Service of the daemon: runs one instance until SIGTERM or SIGINT."""

import asyncio
import pathlib
import signal
import sys

import click
import msgspec

from anvilhall.clock import Clock, SystemClock
from anvilhall.core.settings import SettingsFaulty
from anvilhall.gateway import Gateway
from anvilhall.instance import Instance
from anvilhall.local import LocalConfig
from anvilhall.logs import LogWriter, start_logging

#: Exit code for invalid process settings.
_EXIT_SETTINGS = 2


@click.command()
@click.argument(
    'config_file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    '--memory-mb',
    envvar='MEMORY_LIMIT_MB',
    type=click.FloatRange(min=0, min_open=True),
    help='Memory that the process may take; goes before CONFIG_FILE.',
)
@click.option(
    '--duties',
    envvar='DUTIES',
    default='',
    help='Section `duties` as JSON; goes before CONFIG_FILE if it has an api.',
)
def run_service(
    config_file: pathlib.Path, memory_mb: float | None, duties: str
) -> None:
    """Run one entry instance with the settings in CONFIG_FILE."""
    try:
        config = LocalConfig.from_file(config_file)
        if duties:
            config = config.replace_duties(duties.encode())
    except SettingsFaulty as error:
        click.echo(f'anvilhalld: {error.reason}', err=True)
        sys.exit(_EXIT_SETTINGS)
    if memory_mb is not None:
        config = msgspec.structs.replace(config, memory_mb=memory_mb)
    clock = SystemClock()
    writer = start_logging(clock)
    asyncio.run(_run_until_signal(config, clock, writer))


def build_instance(
    config: LocalConfig,
    clock: Clock,
) -> Instance | Gateway:
    """Build a gateway if the settings have a relay section, else an instance.

    Both run as one entry instance.
    """
    if config.relay:
        return Gateway.from_config(config, config.relay, clock)
    return Instance.from_config(config, clock)


async def _run_until_signal(
    config: LocalConfig,
    clock: Clock,
    writer: LogWriter,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    instance = build_instance(config, clock)
    writer.on_drop = instance.metrics.count_dropped_line
    loop.add_signal_handler(signal.SIGHUP, instance.note_reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    await instance.start()
    await stop.wait()
    await instance.stop()
