"""Certificates and keys: they are validated and reloaded, and kept if the new ones are unusable."""

from __future__ import annotations

import ssl
from pathlib import Path

import pytest
import trustme

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.grpc.tls import TlsCredentials, TlsFilesError
from sagetrack.policy.events import Outcome
from tests.grpc_helpers import (
    grpc_upstream_fixture,
    warm_up,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_keys_are_validated_and_kept_if_a_reload_fails(tmp_path: Path) -> None:
    authority = trustme.CA()
    paths = {name: str(tmp_path / name) for name in ("ca", "cert", "key")}
    authority.cert_pem.write_to_path(paths["ca"])
    gateway_certificate = authority.issue_cert("gateway")
    gateway_certificate.cert_chain_pems[0].write_to_path(paths["cert"])
    gateway_certificate.private_key_pem.write_to_path(paths["key"])
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.set_alpn_protocols(["h2"])
    server.verify_mode = ssl.CERT_REQUIRED
    authority.issue_cert("127.0.0.1").configure_cert(server)
    authority.configure_trust(server)
    credentials = TlsCredentials(paths["ca"], paths["cert"], paths["key"])
    assert credentials.metric_values()["new_certificate_days"] > 1
    async with grpc_upstream_fixture(tls=(server, lambda: credentials.client_context)) as fixture:
        await warm_up(fixture)
        Path(paths["key"]).write_text("no key")
        previous_context = credentials.client_context
        with pytest.raises(TlsFilesError, match="cert with"):
            credentials.reload()
        assert credentials.client_context is previous_context and not fixture.connection.closed
        other_authority = trustme.CA()
        other_authority.cert_pem.write_to_path(paths["ca"])
        other_credentials = TlsCredentials(paths["ca"])
        fixture.pools.tls_context = lambda: other_credentials.client_context
        fixture.connection.draining = True
        observer = fixture.send()
        await wait_until(lambda: observer.ends)
        assert observer.ends[0][0] is Outcome.CONNECT_FAILED


def test_invalid_tls_settings_and_missing_files_are_rejected(tmp_path: Path) -> None:
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text('[newer]\nshare = 0.5\ntls = true\nkey = "k"\n')
    with pytest.raises(FileError) as error:
        load_operator(str(operator_file))
    assert len(error.value.faults) == 3
    operator_file.write_text('[newer]\ntypes = ["v2"]\ntls = true\nca = "/none/ca.pem"\n')
    with pytest.raises(TlsFilesError, match="/none/ca.pem"):
        TlsCredentials(load_operator(str(operator_file)).newer.ca)
