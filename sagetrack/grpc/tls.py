"""TLS of gRPC connections: the authority and the gateway's own certificate, reloadable while it runs."""

from __future__ import annotations

import ssl
import time

from cryptography import x509

from sagetrack.grpc.errors import GrpcError


class TlsFilesError(GrpcError):
    """Certificates or keys that cannot be used; the message says which file and why."""


class TlsCredentials:
    """The TLS context for new connections; existing connections keep the certificates of their handshake.

    Args:
        ca: File with the certificates of the authority.
        certificate: File with the gateway's own certificate; empty if it has none.
        key: File with its private key.

    Raises:
        TlsFilesError: A file cannot be used.
    """

    def __init__(self, ca: str, certificate: str = "", key: str = "") -> None:
        self.ca = ca
        self.certificate = certificate
        self.key = key
        self.server_context: ssl.SSLContext | None = None  # reloaded in place
        self.context, self.expires_s = self.load_client_context()

    def create_server_context(self) -> ssl.SSLContext:
        """Create the context for gRPC clients, which need a certificate of the same authority."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        context.verify_mode = ssl.CERT_REQUIRED
        self.server_context = context
        self.load_server_files()
        return context

    def load_server_files(self) -> None:
        """Load the files into the server's context, if there is one."""
        if self.server_context is not None:
            self.server_context.load_verify_locations(self.ca)
            self.server_context.load_cert_chain(self.certificate, self.key)

    def load_client_context(self) -> tuple[ssl.SSLContext, float]:
        """Create a context from the files as they are now.

        Returns:
            The context, and when the own certificate expires (seconds of Unix time; infinity without one).

        Raises:
            TlsFilesError: A file cannot be read, they do not fit together, or the certificate has expired.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2  # RFC 9113, 9.2
        context.set_alpn_protocols(["h2"])
        expires_s = float("inf")
        try:
            context.load_verify_locations(self.ca)
        except (OSError, ssl.SSLError) as error:
            raise TlsFilesError(f"{self.ca}: {_reason(error)}") from None
        if self.certificate:
            try:
                context.load_cert_chain(self.certificate, self.key)
                with open(self.certificate, "rb") as file:
                    certificate = x509.load_pem_x509_certificate(file.read())
            except (OSError, ssl.SSLError, ValueError) as error:
                raise TlsFilesError(f"{self.certificate} with {self.key}: {_reason(error)}") from None
            expires_s = certificate.not_valid_after_utc.timestamp()
            if expires_s < time.time():
                raise TlsFilesError(
                    f"{self.certificate}: it ended on {certificate.not_valid_after_utc:%Y-%m-%d}"
                )
        return context, expires_s

    def reload(self) -> None:
        """Read the files again.

        Raises:
            TlsFilesError: A file cannot be used; the previous ones stay in use.
        """
        self.context, self.expires_s = self.load_client_context()
        self.load_server_files()  # the same files, which have just been checked

    def metric_values(self) -> dict[str, float]:
        """Values for the exported metrics: days until the own certificate expires."""
        if not self.certificate:
            return {}
        return {"new_certificate_days": round((self.expires_s - time.time()) / 86_400, 2)}


def _reason(error: Exception) -> str:
    """What is wrong with a file, in few words."""
    if isinstance(error, ssl.SSLError):
        return (error.reason or "no PEM that can be read").lower().replace("_", " ")
    return getattr(error, "strerror", None) or str(error)
