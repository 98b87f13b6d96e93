"""Daemon that runs an entry or an agent until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
import sys
from functools import singledispatch
from pathlib import Path

import click
import msgspec
from loguru import logger

from .coordination.agent.agent import Agent
from .coordination.entry.caller_api import caller_routes
from .coordination.entry.entry import Entry
from .coordination.entry.operator_api import operator_routes
from .errors import SettingsError
from .logs import set_up_logs
from .settings import AgentSettings, DaemonSettings, EntrySettings, load_settings
from .transport.http_server import DumpHandler, HttpListener, MetricsHandler

BAD_SETTINGS_EXIT_CODE = 2
AGENT_BODY_LIMIT_BYTES = 65_536


@singledispatch
async def serve(cfg: object) -> None:
    """Run the role of the settings until SIGTERM or SIGINT."""
    raise TypeError(f"no role has settings of type {type(cfg).__name__}")


@serve.register
async def _(cfg: EntrySettings) -> None:
    listener = HttpListener(cfg.address, cfg.http_port)
    async with Entry(cfg) as entry:
        await entry.start(listener.url)
        routes = [*caller_routes(entry), *operator_routes(entry)]
        listener.serve(routes, body_limit_bytes=cfg.body_limit_bytes)
        _announce(cfg.name, listener.url, entry.link_url)
        await _stop_signal()
        logger.info("leaving")
        await entry.drain()
        await listener.close()


@serve.register
async def _(cfg: AgentSettings) -> None:
    listener = HttpListener(cfg.address, cfg.http_port)
    async with Agent(cfg) as agent:
        await agent.start(listener.url)
        services = {
            "operator_token": cfg.operator_token,
            "metrics": agent.metrics,
            "dump": agent.dump,
        }
        routes = [
            ("/metrics", MetricsHandler, services),
            ("/v1/operator/dump", DumpHandler, services),
        ]
        listener.serve(routes, body_limit_bytes=AGENT_BODY_LIMIT_BYTES)
        _announce(cfg.name, listener.url, "")
        await _stop_signal()
        logger.info("leaving")
        await agent.drain()
        await listener.close()


def _announce(name: str, http_url: str, link_url: str) -> None:
    """Print the addresses, as port 0 lets the system choose a port."""
    line = {"name": name, "http_url": http_url, "link_url": link_url}
    print(msgspec.json.encode(line).decode(), flush=True)


async def _stop_signal() -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()


def run(path: Path) -> int:
    """Run the daemon with a settings file; return the exit code."""
    try:
        cfg = load_settings(path, DaemonSettings)
    except SettingsError as exc:
        click.echo(f"{path.name}: {exc}", err=True)
        return BAD_SETTINGS_EXIT_CODE
    set_up_logs(cfg.logging, cfg.name)
    asyncio.run(serve(cfg))
    return 0


@click.command()
@click.argument("settings", type=click.Path(path_type=Path))
def main(settings: Path) -> None:
    """Run an entry or agent with the SETTINGS file until SIGTERM.

    Exit codes: 0 stopped as asked, 2 the settings cannot be used.
    """
    sys.exit(run(settings))


if __name__ == "__main__":
    main()

__all__ = ["main", "run", "serve"]
