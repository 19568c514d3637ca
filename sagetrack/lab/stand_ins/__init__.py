"""Stand-ins on loopback sockets: address servers, service discovery, DNS servers, clients."""
