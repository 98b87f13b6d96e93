"""Shows where a job would go now, and why, without handing it in."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from ..errors import InvalidRequestError
from .client import Client, pass_client
from .output import show_json, show_rows

EXIT_REFUSED = 3


@click.command()
@click.argument("job", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@pass_client
def place(client: Client, job: Path, as_json: bool) -> None:
    """Show where the durable job in the file JOB would go now, and why.

    JOB is JSON with `workspace`, `queue` and `steps`; see docs/reference/http.md. The
    job is not handed in and nothing is stored. Jobs of the own interface are explained
    by `explain` once they are handed in.

    Exit codes: 0 answered, 1 no answer, 3 the job would be refused.
    """
    try:
        draft = msgspec.json.decode(job.read_bytes())
    except (msgspec.DecodeError, RecursionError) as exc:
        raise InvalidRequestError(
            f"the job cannot be read: {exc}", field=job.name, remedy="write it as JSON"
        ) from exc
    found = client.post("place", draft)
    if as_json:
        show_json(found)
    else:
        _show(found)
    sys.exit(EXIT_REFUSED if found["refused"] else 0)


def _show(found: dict[str, Any]) -> None:
    """Print the answer for people."""
    click.echo(
        f"planner {found['planner']}, term {found['term']}, "
        f"state read {found['state_age_s']} s ago"
    )
    click.echo("within its guarantee" if found["within_guarantee"] else "no guarantee")
    if found["parts"]:
        click.echo(f"in force: {', '.join(found['parts'])}")
    if found["refused"]:
        click.echo(f"would be refused: {found['refused']}")
    rows = [
        {
            **step,
            "placed": f"{step['placed']} of {step['tasks']}",
            "upstreams": [f"{key} x{n}" for key, n in step["upstreams"].items()],
        }
        for step in found["steps"]
    ]
    columns = ["step", "state", "reason", "placed", "start_s", "end_s", "stops"]
    show_rows(rows, [*columns, "upstreams"], as_json=False)


__all__ = ["place"]
