"""The operators' bundle: its schema, signatures and encoding."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta, Struct
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from ..errors import BundleError
from .shape import Shape

if TYPE_CHECKING:
    from collections.abc import Mapping

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class Guarantee(Struct, frozen=True, forbid_unknown_fields=True):
    """A shape that a workspace can always reclaim, `count` times over."""

    workspace: Name
    shape: Shape
    count: Annotated[int, Meta(ge=1, le=10_000)] = 1


class WorkspaceLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Weight of a workspace beyond its guarantees, and its queue limit."""

    workspace: Name
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_waiting: Annotated[int, Meta(ge=1)] = 10_000


class ZonePolicy(Struct, frozen=True, forbid_unknown_fields=True):
    """How an availability zone is emptied and refilled."""

    availability_zone: Name
    state: Literal["in", "out"] = "in"
    grace_s: Annotated[float, Meta(ge=0, le=3600)] = 10.0
    gangs: Literal["first", "last"] = "first"
    may_cut: bool = True
    returns_per_s: Annotated[float, Meta(gt=0)] = 20.0


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Pool-wide limits of the policy."""

    reclaim_grace_s: Annotated[float, Meta(ge=0, le=600)] = 3.0
    urgent_grace_s: Annotated[float, Meta(ge=0, le=10)] = 0.3
    preempt_after_s: Annotated[float, Meta(ge=0)] = 60.0
    quarantine_failures: Annotated[int, Meta(ge=1)] = 3


class Bundle(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of everything that operators decide."""

    version: Annotated[int, Meta(ge=1)]
    parent: Annotated[int, Meta(ge=0)]
    note: str = ""
    guarantees: list[Guarantee] = []
    workspaces: list[WorkspaceLimits] = []
    availability_zones: list[ZonePolicy] = []
    limits: Limits = Limits()

    def zone_policy(self, name: str) -> ZonePolicy:
        """Return the procedure of an availability zone, or the default one."""
        for procedure in self.availability_zones:
            if procedure.availability_zone == name:
                return procedure
        return ZonePolicy(availability_zone=name)

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that are taken out of service."""
        return frozenset(
            zone.availability_zone
            for zone in self.availability_zones
            if zone.state == "out"
        )


class Signature(Struct, frozen=True, forbid_unknown_fields=True):
    """A person's Ed25519 signature, in hexadecimal."""

    person: str
    signature: Annotated[str, Meta(pattern=r"^[0-9a-f]{128}$")]


class SignedBundle(Struct, frozen=True, forbid_unknown_fields=True):
    """A bundle's exact bytes with the signatures of author and approver."""

    content: str
    author: Signature
    approver: Signature | None = None

    @property
    def digest(self) -> str:
        """SHA-256 of the content, which tells equal versions apart."""
        return hashlib.sha256(self.content.encode()).hexdigest()


EMPTY_BUNDLE = Bundle(version=1, parent=0)


def parse_bundle(raw: bytes | str) -> Bundle:
    """Check a bundle's JSON text.

    Raises
    ------
    BundleError
        Where a field is unknown, missing, of a wrong type or out of range.
    """
    try:
        bundle = msgspec.json.decode(raw, type=Bundle)
    except msgspec.DecodeError as exc:
        text, _, path = str(exc).partition(" - at `$")
        raise BundleError(
            text,
            field=path.strip("`.") or "(top level)",
            remedy="correct the bundle; see docs/reference/bundle.md",
        ) from exc
    if bundle.version != bundle.parent + 1:
        raise BundleError(
            f"version {bundle.version} does not follow parent {bundle.parent}",
            field="version",
            remedy=f"write version {bundle.parent + 1}",
        )
    return bundle


def parse_signed_bundle(raw: bytes | str) -> SignedBundle:
    """Check the outer form of a signed bundle; see `verify` for the rest."""
    try:
        return msgspec.json.decode(raw, type=SignedBundle)
    except msgspec.DecodeError as exc:
        raise BundleError(
            f"not a signed bundle: {exc}",
            remedy="sign it with 'hyssoprill bundle sign'",
        ) from exc


def sign_bundle(content: str, person: str, key: SigningKey) -> Signature:
    """Sign a bundle's text as one person."""
    return Signature(person, key.sign(content.encode()).signature.hex())


def verify_bundle(signed: SignedBundle, trusted: Mapping[str, str]) -> Bundle:
    """Check both signatures and the content of a signed bundle.

    Parameters
    ----------
    signed : SignedBundle
        The bundle as published.
    trusted : mapping of str to str
        Public keys in hexadecimal, by person.

    Returns
    -------
    Bundle
        The checked content.

    Raises
    ------
    BundleError
        Where a signature is missing, wrong or of an unknown person, where
        author and approver are one, or where the content is malformed.
    """
    if signed.approver is None:
        raise BundleError(
            "the bundle has no approver",
            code="not_approved",
            remedy="let a second person run 'hyssoprill bundle sign'",
        )
    if signed.author.person == signed.approver.person:
        raise BundleError(
            f"{signed.author.person!r} is both author and approver",
            code="not_approved",
            remedy="let a second person approve it",
        )
    keys = [_check_signature(signed, s, trusted) for s in _signatures(signed)]
    if keys[0] == keys[1]:
        raise BundleError(
            "author and approver signed with one key",
            code="not_approved",
            remedy="give each person a key of their own",
        )
    return parse_bundle(signed.content)


def _signatures(signed: SignedBundle) -> list[Signature]:
    """Return the author's and the approver's signature."""
    return [signed.author, signed.approver] if signed.approver else [signed.author]


def _check_signature(
    signed: SignedBundle, signature: Signature, trusted: Mapping[str, str]
) -> str:
    """Return the public key that made a signature."""
    public = trusted.get(signature.person)
    if public is None:
        raise BundleError(
            f"no trusted key of {signature.person!r}",
            code="untrusted_signer",
            remedy="add the key to 'trusted_keys' of all settings",
        )
    try:
        VerifyKey(bytes.fromhex(public)).verify(
            signed.content.encode(), bytes.fromhex(signature.signature)
        )
    except BadSignatureError as exc:
        raise BundleError(
            f"the signature of {signature.person!r} does not match",
            code="bad_signature",
            remedy="sign the bundle anew after each change",
        ) from exc
    return public


__all__ = [
    "EMPTY_BUNDLE",
    "Bundle",
    "Guarantee",
    "Limits",
    "Signature",
    "SignedBundle",
    "WorkspaceLimits",
    "ZonePolicy",
    "parse_bundle",
    "parse_signed_bundle",
    "sign_bundle",
    "verify_bundle",
]
