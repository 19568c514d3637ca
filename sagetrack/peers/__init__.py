"""Messages between gateways: membership, gossip of demand, warm starts, and the hand-over at a restart."""
