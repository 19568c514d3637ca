"""TLS for gRPC connections: the CA and the gateway's certificate, which can be reloaded at run time."""

from __future__ import annotations

import ssl
import time

from cryptography import x509

from sagetrack.grpc.errors import GrpcError


class TlsFilesError(GrpcError):
    """A certificate or key file cannot be used; the message names the file and the reason."""


class TlsCredentials:
    """TLS contexts for new connections; existing connections keep the certificates of their handshake.

    Args:
        ca: Path of the PEM file with the certificates of the CA.
        certificate: Path of the PEM file with the gateway's certificate; empty if it has none.
        key: Path of the PEM file with the private key of the certificate.

    Raises:
        TlsFilesError: A file cannot be used.
    """

    def __init__(self, ca: str, certificate: str = "", key: str = "") -> None:
        self.ca = ca
        self.certificate = certificate
        self.key = key
        self.server_context: ssl.SSLContext | None = None  # reloads its files in place
        self.client_context, self.expires_s = self.load_client_context()

    def create_server_context(self) -> ssl.SSLContext:
        """Create the context for the listener; clients must present a certificate of the same CA."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        context.verify_mode = ssl.CERT_REQUIRED
        self.server_context = context
        self.load_server_files()
        return context

    def load_server_files(self) -> None:
        """Load the certificate files into the listener's context, if there is one."""
        if self.server_context is not None:
            self.server_context.load_verify_locations(self.ca)
            self.server_context.load_cert_chain(self.certificate, self.key)

    def load_client_context(self) -> tuple[ssl.SSLContext, float]:
        """Create a context for upstream connections from the current files.

        Returns:
            The context, and the expiry time of the gateway's certificate in seconds of Unix time (infinity
            without a certificate).

        Raises:
            TlsFilesError: A file cannot be read, the key does not match, or the certificate has expired.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2  # required by RFC 9113, section 9.2
        context.set_alpn_protocols(["h2"])
        expires_s = float("inf")
        try:
            context.load_verify_locations(self.ca)
        except (OSError, ssl.SSLError) as error:
            raise TlsFilesError(f"{self.ca}: {_error_reason(error)}") from None
        if self.certificate:
            try:
                context.load_cert_chain(self.certificate, self.key)
                with open(self.certificate, "rb") as file:
                    certificate = x509.load_pem_x509_certificate(file.read())
            except (OSError, ssl.SSLError, ValueError) as error:
                raise TlsFilesError(f"{self.certificate} with {self.key}: {_error_reason(error)}") from None
            expires_s = certificate.not_valid_after_utc.timestamp()
            if expires_s < time.time():
                raise TlsFilesError(
                    f"{self.certificate}: expired on {certificate.not_valid_after_utc:%Y-%m-%d}"
                )
        return context, expires_s

    def reload(self) -> None:
        """Reload the files.

        Raises:
            TlsFilesError: A file cannot be used; the previous certificates stay in use.
        """
        self.client_context, self.expires_s = self.load_client_context()
        self.load_server_files()  # these files have just been validated

    def metric_values(self) -> dict[str, float]:
        """Return the exported metric: the days until the gateway's certificate expires."""
        if not self.certificate:
            return {}
        return {"new_certificate_days": round((self.expires_s - time.time()) / 86_400, 2)}


def _error_reason(error: Exception) -> str:
    """Return a short description of why a file cannot be used."""
    if isinstance(error, ssl.SSLError):
        return (error.reason or "not a valid PEM file").lower().replace("_", " ")
    return getattr(error, "strerror", None) or str(error)
