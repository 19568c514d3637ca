"""Stand-ins on loopback sockets for what surrounds gateways: upstream servers, discovery, DNS, clients."""
