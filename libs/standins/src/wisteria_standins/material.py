"""Keys and certificates of a fleet on loopback, made anew for each run."""

from pathlib import Path

import trustme

from .const import LOOPBACK


class Authority:
    """The authority that signs the certificates of a fleet's daemons."""

    def __init__(self) -> None:
        self._authority = trustme.CA()

    def write_certificate(self, path: Path) -> None:
        """Write the authority's own certificate."""
        self._authority.cert_pem.write_to_path(path)

    def write_identity(self, folder: Path, vm_id: str) -> None:
        """Write certificate and key of one VM, good for its name and for loopback."""
        issued = self._authority.issue_cert(vm_id, LOOPBACK, common_name=vm_id)
        for number, part in enumerate(issued.cert_chain_pems):
            part.write_to_path(folder / f"{vm_id}.pem", append=number > 0)
        issued.private_key_pem.write_to_path(folder / f"{vm_id}.key")
