"""Entry point of the command-line tool for operators."""

from __future__ import annotations

import sys
from typing import Any

import click

from .. import __version__
from ..errors import HyssoprillError, SettingsError
from .bundle import bundle
from .client import Client, pass_client
from .late import late
from .output import show_json, show_rows
from .place import place
from .trace import trace
from .waste import waste

EXIT_USAGE = 2
EXIT_ERROR = 1

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class _ErrorReportingGroup(click.Group):
    """Converts exceptions of this package to a message and an exit code."""

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except SettingsError as exc:
            click.echo(f"settings: {exc}", err=True)
            sys.exit(EXIT_USAGE)
        except HyssoprillError as exc:
            click.echo(f"{exc.code}: {exc}", err=True)
            sys.exit(EXIT_ERROR)


@click.group(cls=_ErrorReportingGroup)
@click.option(
    "--settings",
    envvar="HYSSOPRILL_SETTINGS",
    default="hyssoprill.json",
    show_default=True,
    help="JSON file with entries, log_url and operator_token.",
)
@click.version_option(__version__)
@click.pass_context
def main(ctx: click.Context, settings: str) -> None:
    """Operate a hyssoprill pool.

    Exit codes: 0 done, 1 an error that the message explains, 2 wrong use or
    settings, 3 refused or lagging, 4 in doubt.

    Shell completion: eval "$(_HYSSOPRILL_COMPLETE=bash_source hyssoprill)".
    """
    ctx.obj = Client(settings)


@main.command("availability-zones")
@json_option
@pass_client
def availability_zones(client: Client, as_json: bool) -> None:
    """List the availability zones."""
    columns = [
        "availability_zone",
        "state",
        "upstreams",
        "accelerators",
        "free_accelerators",
        "jobs",
    ]
    show_rows(client.get("availability-zones"), columns, as_json)


@main.command()
@json_option
@pass_client
def upstreams(client: Client, as_json: bool) -> None:
    """List the upstreams, and why one gets no new work."""
    columns = [
        "upstream",
        "availability_zone",
        "rack",
        "accelerators",
        "free_accelerators",
        "jobs",
        "closed",
    ]
    show_rows(client.get("upstreams"), columns, as_json)


@main.command()
@json_option
@pass_client
def jobs(client: Client, as_json: bool) -> None:
    """List running and waiting jobs."""
    columns = ["job", "workspace", "state", "age_s", "code", "upstreams"]
    show_rows(client.get("jobs"), columns, as_json)


@main.command()
@click.argument("job")
@json_option
@pass_client
def explain(client: Client, job: str, as_json: bool) -> None:
    """Show why a job waits, and what would let it run."""
    found = client.get(f"explain/{job}")
    if as_json:
        show_json(found)
    else:
        click.echo(f"{found['job']}: {found['code']}: {found['reason']}")
    sys.exit(EXIT_ERROR if found["code"] == "unknown_job" else 0)


@main.command()
@click.argument("process")
@pass_client
def dump(client: Client, process: str) -> None:
    """Print the complete state of one process as JSON."""
    for one in client.get("status")["processes"]:
        if one["process"] == process:
            show_json(client.get_from(one["http_url"], "/v1/operator/dump"))
            return
    raise click.UsageError(f"no process {process!r}; see 'bundle status'")


main.add_command(bundle)
main.add_command(place)
main.add_command(trace)
main.add_command(waste)
main.add_command(late)

if __name__ == "__main__":
    main()

__all__ = ["main"]
