"""Commands that create, check, sign and publish configuration bundles."""

from __future__ import annotations

import difflib
import secrets
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec
from nacl.signing import SigningKey

from ..coordination.policy.guarantee_check import (
    UpstreamCapacity,
    find_unplaceable_guarantees,
)
from ..errors import BundleError, HyssoprillError, LogUnavailableError
from ..protocol.bundle import (
    Bundle,
    SignedBundle,
    parse_bundle,
    parse_signed_bundle,
    sign_bundle,
)
from ..protocol.shape import Resources
from ..state.bundle_projection import BUNDLE_STREAM
from ..transport.platform_log import LogRecord
from .client import Client, pass_client
from .output import show_json, show_rows

if TYPE_CHECKING:
    from ..transport.platform_log import StoredRecord

EXIT_REFUSED = 3
EXIT_IN_DOUBT = 4
VERDICT_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
SILENT_S = 3.0


@click.group()
def bundle() -> None:
    """Create, check, sign and publish bundles."""


@bundle.command()
@pass_client
def new(client: Client) -> None:
    """Print the bundle in force as the next version, for editing."""
    current = client.get("bundle")
    click.echo(_format_bundle(_next_bundle(current)))


@bundle.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@pass_client
def check(client: Client, file: Path) -> None:
    """Check that all guarantees fit, also with each zone out in turn.

    Exit codes: 0 all fit, 3 some do not.
    """
    content = _read_content(file)
    found = find_unplaceable_guarantees(parse_bundle(content), _fetch_capacity(client))
    for one in found:
        where = f"with {one.zone_out} out" if one.zone_out else "with all zones in"
        shape = one.shape
        click.echo(
            f"{where}: {one.workspace} cannot be given {shape.members} members of "
            f"{shape.accelerators} accelerators in one {shape.adjacent}"
        )
    if found:
        sys.exit(EXIT_REFUSED)
    click.echo("all guarantees fit, also with each zone out in turn")


@bundle.command(name="sign")
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option("--person", required=True, help="Name of the signer.")
@click.option(
    "--key",
    "key_file",
    required=True,
    type=click.Path(exists=True, path_type=Path),
    help="File with the 32-byte Ed25519 seed in hexadecimal.",
)
def sign_command(file: Path, person: str, key_file: Path) -> None:
    """Sign as author, or approve a bundle that another person signed."""
    key = SigningKey(bytes.fromhex(key_file.read_text().strip()))
    content = _read_content(file)
    parse_bundle(content)
    signature = sign_bundle(content, person, key)
    raw = file.read_text()
    if '"author"' not in raw:
        signed = SignedBundle(content, signature)
    else:
        earlier = parse_signed_bundle(raw)
        if earlier.author.person == person:
            raise BundleError(
                f"{person!r} is already the author",
                code="not_approved",
                remedy="let a second person approve it",
            )
        signed = SignedBundle(content, earlier.author, signature)
    show_json(signed)


@bundle.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--skip-check", is_flag=True, help="Publish even if its guarantees do not fit."
)
@pass_client
def roll(client: Client, file: Path, skip_check: bool) -> None:
    """Publish a signed bundle, and wait until it is in force everywhere.

    Exit codes: 0 accepted, 3 refused, 4 in doubt.
    """
    signed = parse_signed_bundle(file.read_text())
    wanted = parse_bundle(signed.content)
    if not skip_check and find_unplaceable_guarantees(wanted, _fetch_capacity(client)):
        click.echo("refused: its guarantees do not fit; see 'bundle check'")
        sys.exit(EXIT_REFUSED)
    sys.exit(publish(client, signed, wanted))


def publish(client: Client, signed: SignedBundle, wanted: Bundle) -> int:
    """Append a bundle to the log, report its verdict, and return the exit code.

    Without a verdict in time the outcome is reported as in doubt, never as a failure.
    """
    record_id = f"bundle/{signed.digest[:16]}/{secrets.token_hex(4)}"
    record = LogRecord(record_id, BUNDLE_STREAM, msgspec.to_builtins(signed))
    try:
        offset = client.append(record)
        click.echo(f"published version {wanted.version} at offset {offset}")
    except LogUnavailableError as exc:
        click.echo(f"no response from the log ({exc.message}); waiting for the verdict")
    verdict = _wait_for_verdict(client, record_id)
    if verdict is None:
        click.echo(
            "in doubt: no entry has read it; run 'bundle status' when the log is back"
        )
        return EXIT_IN_DOUBT
    if not verdict["accepted"]:
        click.echo(f"refused: {verdict['reason']}")
        return EXIT_REFUSED
    return _wait_in_force(client, wanted.version)


@bundle.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@pass_client
def status(client: Client, as_json: bool) -> None:
    """Show whether the bundle is in force everywhere, and which processes lag.

    Exit codes: 0 everywhere, 3 some lag.
    """
    found = client.get("status")
    lagging = _lagging_processes(found, found["version"])
    if as_json:
        show_json({**found, "lagging": lagging})
    else:
        columns = ["process", "role", "bundle_version", "silent_s"]
        show_rows(found["processes"], columns, False)
        click.echo(f"version {found['version']}; lagging: {', '.join(lagging) or '-'}")
        if found["guarantees_at_risk"]:
            click.echo(f"at risk: {', '.join(found['guarantees_at_risk'])}")
    sys.exit(EXIT_REFUSED if lagging else 0)


@bundle.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@pass_client
def history(client: Client, as_json: bool) -> None:
    """List the bundles that the log still retains, with their verdicts."""
    rows = []
    for record in _published_bundles(client):
        verdict = client.get(f"verdict/{record.id}")["verdict"] or {}
        signed = msgspec.convert(record.body, SignedBundle)
        rows.append(
            {
                "offset": record.offset,
                "version": verdict.get("version"),
                "accepted": verdict.get("accepted"),
                "code": verdict.get("code"),
                "author": signed.author.person,
                "approver": signed.approver.person if signed.approver else None,
            }
        )
    columns = ["offset", "version", "accepted", "code", "author", "approver"]
    show_rows(rows, columns, as_json)


@bundle.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@pass_client
def diff(client: Client, file: Path) -> None:
    """Show how a bundle differs from the one in force."""
    current = client.get("bundle")
    before = current["signed"]["content"] if current["signed"] else "{}"
    old, new_text = (_json_lines(text) for text in (before, _read_content(file)))
    for line in difflib.unified_diff(old, new_text, "in force", str(file), lineterm=""):
        click.echo(line)


@bundle.command()
@click.option(
    "--to",
    "version",
    type=int,
    help="Version to roll back to; the previous one by default.",
)
@pass_client
def rollback(client: Client, version: int | None) -> None:
    """Print an earlier bundle's content as the next version, to be signed."""
    current = client.get("bundle")
    wanted = version or current["version"] - 1
    for record in _published_bundles(client):
        signed = msgspec.convert(record.body, SignedBundle)
        verdict = client.get(f"verdict/{record.id}")["verdict"] or {}
        if verdict.get("accepted") and verdict["version"] == wanted:
            earlier = parse_bundle(signed.content)
            number = current["version"]
            note = f"rolls back to version {wanted}"
            again = msgspec.structs.replace(
                earlier, version=number + 1, parent=number, note=note
            )
            click.echo(_format_bundle(again))
            return
    raise BundleError(
        f"the log does not keep version {wanted}",
        remedy="take it from your own files, and run 'bundle new'",
    )


def _published_bundles(client: Client) -> list[StoredRecord]:
    return [one for one in client.read_log() if one.stream == BUNDLE_STREAM]


def _next_bundle(current: dict[str, Any]) -> Bundle:
    number = current["version"]
    if current["signed"] is None:
        return Bundle(1, 0)
    last = parse_bundle(current["signed"]["content"])
    return msgspec.structs.replace(last, version=number + 1, parent=number, note="")


def _read_content(file: Path) -> str:
    """Return the bundle's exact text, from an unsigned or a signed file."""
    raw = file.read_text()
    if '"author"' in raw:
        return parse_signed_bundle(raw).content
    return raw


def _fetch_capacity(client: Client) -> list[UpstreamCapacity]:
    return [
        UpstreamCapacity(
            one["upstream"],
            one["availability_zone"],
            one["rack"],
            Resources(
                one["slots"], one["accelerators"], one["cores"], one["memory_gb"]
            ),
        )
        for one in client.get("upstreams")
    ]


def _wait_for_verdict(client: Client, record_id: str) -> dict[str, Any] | None:
    deadline_s = time.monotonic() + VERDICT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            verdict = client.get(f"verdict/{record_id}")["verdict"]
        except HyssoprillError:
            verdict = None
        if verdict is not None:
            return verdict
        time.sleep(POLL_INTERVAL_S)
    return None


def _wait_in_force(client: Client, version: int) -> int:
    """Print progress until the version is in force everywhere; return the exit code."""
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    shown: list[str] | None = None
    while True:
        found = client.get("status")
        lagging = _lagging_processes(found, version)
        if lagging != shown:
            total = len(found["processes"])
            click.echo(f"in force in {total - len(lagging)} of {total} processes")
            shown = lagging
        if not lagging:
            click.echo(f"accepted: version {version} is in force everywhere")
            return 0
        if time.monotonic() > deadline_s:
            return _report_lagging(found, lagging, version)
        time.sleep(POLL_INTERVAL_S)


def _report_lagging(found: dict[str, Any], lagging: list[str], version: int) -> int:
    """Print whether lagging processes may still start work under an older bundle.

    The bundle counts as in force if all lagging processes are silent and fewer than
    half of the agents are silent. Returns the exit code.
    """
    names = ", ".join(lagging)
    silent = {p["process"] for p in found["processes"] if p["silent_s"] > SILENT_S}
    agents = [p for p in found["processes"] if p["role"] == "agent"]
    silent_agents = [p for p in agents if p["process"] in silent]
    if set(lagging) <= silent and len(silent_agents) * 2 < len(agents):
        click.echo(
            f"accepted: version {version} is in force; silent, and unable to start "
            f"work without the others: {names}"
        )
        return 0
    click.echo(f"in doubt: version {version} is on the log, but these lag: {names}")
    return EXIT_IN_DOUBT


def _lagging_processes(found: dict[str, Any], version: int) -> list[str]:
    return sorted(
        one["process"] for one in found["processes"] if one["bundle_version"] < version
    )


def _format_bundle(value: Bundle) -> str:
    return msgspec.json.format(msgspec.json.encode(value)).decode()


def _json_lines(text: str) -> list[str]:
    return msgspec.json.format(text.encode()).decode().splitlines()


__all__ = ["bundle", "publish"]
