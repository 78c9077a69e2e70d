"""Temporary certificate authority for the daemons of a fleet on loopback."""

from pathlib import Path

import trustme

from .const import LOOPBACK


class CertificateAuthority:
    """Certificate authority that signs the certificates of a fleet's daemons."""

    def __init__(self) -> None:
        self._ca = trustme.CA()

    def write_certificate(self, path: Path) -> None:
        self._ca.cert_pem.write_to_path(path)

    def write_identity(self, folder: Path, vm_id: str) -> None:
        """Write a certificate and key of one VM, valid for its name and for loopback."""
        issued = self._ca.issue_cert(vm_id, LOOPBACK, common_name=vm_id)
        for number, certificate in enumerate(issued.cert_chain_pems):
            certificate.write_to_path(folder / f"{vm_id}.pem", append=number > 0)
        issued.private_key_pem.write_to_path(folder / f"{vm_id}.key")
