"""Loopback stand-ins for the parties around gateways: upstream servers, discovery, DNS and clients."""
