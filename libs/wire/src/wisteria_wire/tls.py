"""TLS contexts for links between daemons and for callers."""

import ssl
from pathlib import Path
from typing import Any

import attrs


@attrs.frozen
class PeerMaterial:
    """Files that let a daemon prove who it is and check its peers.

    Parameters
    ----------
    certificate, key : Path
        PEM files; the certificate names the VM id (common name or DNS name) and its IP
        number, and is valid for both client and server.
    authority : Path
        PEM file of the authority that signs the fleet's certificates.
    """

    certificate: Path
    key: Path
    authority: Path


def make_listen_context(material: PeerMaterial) -> ssl.SSLContext:
    """Return the context of the accepting side; a peer without certificate is refused."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, material)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_dial_context(material: PeerMaterial) -> ssl.SSLContext:
    """Return the context of the dialing side; the peer's IP number is checked."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load(context, material)
    return context


def make_caller_context(certificate: Path, key: Path) -> ssl.SSLContext:
    """Return the context of the port for callers."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    context.set_alpn_protocols(["http/1.1"])
    return context


def read_peer_names(certificate: dict[str, Any]) -> frozenset[str]:
    """Return the common names and DNS names of a verified certificate."""
    names = {
        value
        for part in certificate.get("subject", ())
        for field, value in part
        if field == "commonName"
    }
    names.update(value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS")
    return frozenset(names)


def _load(context: ssl.SSLContext, material: PeerMaterial) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(material.certificate, material.key)
    context.load_verify_locations(material.authority)
