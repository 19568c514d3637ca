"""HTTP/1.1: clients' connections, the requests on them, and connection pools to upstream servers."""
