"""Certificates and keys: checked, reloaded, kept when the new ones are bad."""

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
    grpc_upstream_rig,
    warm_up,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_keys_are_checked_renewed_and_kept_when_bad(tmp_path: Path) -> None:
    authority = trustme.CA()
    paths = {name: str(tmp_path / name) for name in ("ca", "cert", "key")}
    authority.cert_pem.write_to_path(paths["ca"])
    ours = authority.issue_cert("gateway")
    ours.cert_chain_pems[0].write_to_path(paths["cert"])
    ours.private_key_pem.write_to_path(paths["key"])
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.set_alpn_protocols(["h2"])
    server.verify_mode = ssl.CERT_REQUIRED
    authority.issue_cert("127.0.0.1").configure_cert(server)
    authority.configure_trust(server)
    keys = TlsCredentials(paths["ca"], paths["cert"], paths["key"])
    assert keys.metric_values()["new_certificate_days"] > 1
    async with grpc_upstream_rig(keys=(server, lambda: keys.context)) as rig:
        await warm_up(rig)
        Path(paths["key"]).write_text("no key")
        before = keys.context
        with pytest.raises(TlsFilesError, match="cert with"):
            keys.reload()
        assert keys.context is before and not rig.connection.closed
        stranger = trustme.CA()
        stranger.cert_pem.write_to_path(paths["ca"])
        other = TlsCredentials(paths["ca"])
        rig.pools.tls_context = lambda: other.context
        rig.connection.draining = True
        heard = rig.ask()
        await wait_until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.CONNECT_FAILED


def test_the_operators_file_is_checked(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\nshare = 0.5\ntls = true\nkey = "k"\n')
    with pytest.raises(FileError) as error:
        load_operator(str(file))
    assert len(error.value.faults) == 3
    file.write_text('[newer]\ntypes = ["v2"]\ntls = true\nca = "/none/ca.pem"\n')
    with pytest.raises(TlsFilesError, match="/none/ca.pem"):
        TlsCredentials(load_operator(str(file)).newer.ca)
