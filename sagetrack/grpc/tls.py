"""Keys towards servers of the newer format: an authority, our own certificate, and both anew on word."""

from __future__ import annotations

import ssl
import time

from cryptography import x509


class KeysError(ValueError):
    """Keys that cannot be used; says which file and why."""


class Keys:
    """The context that new connections use. What is up keeps the keys that it came up with."""

    def __init__(self, ca: str, certificate: str = "", key: str = "") -> None:
        self.ca, self.certificate, self.key = ca, certificate, key
        self.server: ssl.SSLContext | None = None  # for clients; renewed in place
        self.context, self.ends_s = self.read()

    def serve(self) -> ssl.SSLContext:
        """The context that clients of the newer format meet: they need a certificate of our authority."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        context.verify_mode = ssl.CERT_REQUIRED
        self.server = context
        self.load_server()
        return context

    def load_server(self) -> None:
        if self.server is not None:
            self.server.load_verify_locations(self.ca)
            self.server.load_cert_chain(self.certificate, self.key)

    def read(self) -> tuple[ssl.SSLContext, float]:
        """A context from the files as they are now, and when our certificate ends (seconds of Unix time).

        KeysError for files that cannot be read, do not fit together or are over.
        """
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2  # RFC 9113, 9.2
        context.set_alpn_protocols(["h2"])
        ends_s = float("inf")
        try:
            context.load_verify_locations(self.ca)
        except (OSError, ssl.SSLError) as error:
            raise KeysError(f"{self.ca}: {_why(error)}") from None
        if self.certificate:
            try:
                context.load_cert_chain(self.certificate, self.key)
                with open(self.certificate, "rb") as file:
                    made = x509.load_pem_x509_certificate(file.read())
            except (OSError, ssl.SSLError, ValueError) as error:
                raise KeysError(f"{self.certificate} with {self.key}: {_why(error)}") from None
            ends_s = made.not_valid_after_utc.timestamp()
            if ends_s < time.time():
                raise KeysError(f"{self.certificate}: it ended on {made.not_valid_after_utc:%Y-%m-%d}")
        return context, ends_s

    def renew(self) -> None:
        """Read the files again; KeysError, and the old keys stay, if they cannot be used."""
        self.context, self.ends_s = self.read()
        self.load_server()  # the same files, which have just been found good

    def figures(self) -> dict[str, float]:
        """For the stats: days until our certificate ends."""
        if not self.certificate:
            return {}
        return {"new_certificate_days": round((self.ends_s - time.time()) / 86_400, 2)}


def _why(error: Exception) -> str:
    if isinstance(error, ssl.SSLError):
        return (error.reason or "no PEM that can be read").lower().replace("_", " ")
    return getattr(error, "strerror", None) or str(error)
