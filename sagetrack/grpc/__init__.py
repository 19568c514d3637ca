"""gRPC over HTTP/2, downstream and upstream: the second protocol of docs/protocol-2.md."""
