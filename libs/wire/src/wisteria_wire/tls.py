"""TLS contexts for links between daemons and for callers."""

import ssl
from pathlib import Path
from typing import Any

import attrs


@attrs.frozen
class PeerMaterial:
    """Certificate files with which a daemon identifies itself and verifies its peers.

    Parameters
    ----------
    certificate, key : Path
        PEM files; the certificate holds the VM id (as common name or DNS name) and the VM's IP
        address, and is valid for both client and server use.
    authority : Path
        PEM file of the certificate authority that signs the fleet's certificates.
    """

    certificate: Path
    key: Path
    authority: Path


def make_listen_context(material: PeerMaterial) -> ssl.SSLContext:
    """Return the context for accepting links; a peer without a certificate is rejected."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load_material(context, material)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_dial_context(material: PeerMaterial) -> ssl.SSLContext:
    """Return the context for dialing links; the peer's IP address is verified."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load_material(context, material)
    return context


def make_caller_context(certificate: Path, key: Path) -> ssl.SSLContext:
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


def _load_material(context: ssl.SSLContext, material: PeerMaterial) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(material.certificate, material.key)
    context.load_verify_locations(material.authority)
