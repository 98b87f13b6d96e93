"""Validated JSON settings of the daemon and of the command-line tool."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from .errors import SettingsError
from .protocol.bounds import LinkUrl

Port = Annotated[int, Meta(ge=0, le=65535)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
HexKey = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Token = Annotated[str, Meta(min_length=16, max_length=256)]
HttpUrl = Annotated[str, Meta(pattern=r"^http://[^/]+$")]
Settings = TypeVar("Settings", bound=Struct)


class TrustedKey(Struct, frozen=True, forbid_unknown_fields=True):
    """Public key of a person who may sign bundles."""

    person: Name
    public_key: HexKey


class CallerToken(Struct, frozen=True, forbid_unknown_fields=True):
    """Token that authenticates callers of one workspace."""

    workspace: Name
    token: Token


class LoggingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log lines."""

    format: Literal["json", "text"] = "json"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class EntrySettings(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="entry"
):
    """Settings of an entry."""

    name: Name
    region: Name
    availability_zone: Name
    cluster_key: HexKey
    operator_token: Token
    log_url: HttpUrl
    trusted_keys: Annotated[list[TrustedKey], Meta(min_length=2)]
    callers: list[CallerToken]
    address: str = "127.0.0.1"
    http_port: Port = 0
    link_port: Port = 0
    advertised_link_url: LinkUrl | None = None
    seeds: list[LinkUrl] = []
    log_retention_s: Annotated[float, Meta(ge=5)] = 86_400.0
    body_limit_bytes: Annotated[int, Meta(ge=1024, le=67_108_864)] = 1_048_576
    logging: LoggingSettings = LoggingSettings()


class AgentSettings(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="agent"
):
    """Settings of an agent."""

    name: Name
    region: Name
    availability_zone: Name
    rack: Name
    cluster_key: HexKey
    operator_token: Token
    worker_url: HttpUrl
    log_url: HttpUrl
    trusted_keys: Annotated[list[TrustedKey], Meta(min_length=2)]
    seeds: list[LinkUrl] = []
    address: str = "127.0.0.1"
    http_port: Port = 0
    logging: LoggingSettings = LoggingSettings()


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the command-line tool."""

    entries: Annotated[list[HttpUrl], Meta(min_length=1)]
    log_url: HttpUrl
    operator_token: Token
    trusted_keys: Annotated[list[TrustedKey], Meta(min_length=2)] = []


DaemonSettings = EntrySettings | AgentSettings

_FIELD_PATTERN = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
_UNKNOWN_PATTERN = re.compile(r"unknown field `(?P<name>[^`]+)`")


def load_settings(path: Path, kind: type[Settings]) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        The JSON file.
    kind : type
        The settings class, or a union of them told apart by `role`.

    Returns
    -------
    Struct
        The checked settings.

    Raises
    ------
    SettingsError
        Where the file cannot be read, or a key is unknown, missing, of the
        wrong type or out of range.
    """
    try:
        raw = path.read_bytes()
    except OSError as exc:
        raise SettingsError(
            f"file {str(path)!r} cannot be read: {exc.strerror}",
            remedy="give the path of a readable JSON file",
        ) from exc
    return parse_settings(raw, kind)


def parse_settings(raw: bytes, kind: type[Settings]) -> Settings:
    """Check settings given as JSON text; see `load_settings`."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.ValidationError as exc:
        raise _settings_error(str(exc)) from exc
    except (msgspec.DecodeError, RecursionError) as exc:
        raise SettingsError(
            f"the file is not JSON: {exc}", remedy="write one JSON object"
        ) from exc


def _settings_error(text: str) -> SettingsError:
    """Convert a validation message to an error with the field's path and a remedy."""
    match = _FIELD_PATTERN.search(text)
    path = match["path"] if match else ""
    found = _FIELD_PATTERN.sub("", text)
    unknown = _UNKNOWN_PATTERN.search(found)
    if unknown:
        path = f"{path}.{unknown['name']}".lstrip(".")
        return SettingsError(
            "unknown key",
            field=path,
            remedy="remove it or correct its spelling; see docs/reference/settings.md",
        )
    return SettingsError(
        found,
        field=path or "(top level)",
        remedy="write a value of that type and range; see docs/reference/settings.md",
    )


__all__ = [
    "AgentSettings",
    "CallerToken",
    "ClientSettings",
    "DaemonSettings",
    "EntrySettings",
    "LoggingSettings",
    "TrustedKey",
    "load_settings",
    "parse_settings",
]
