"""gRPC over HTTP/2, for clients and for upstream servers; docs/protocol-2.md specifies the protocol."""
