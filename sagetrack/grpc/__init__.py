"""Calls over HTTP/2 in gRPC's manner: the newer format of docs/protocol-2.md."""
