"""HTTP/1.1: client connections, their requests, and connection pools to upstream servers."""
