"""Communication between gateways: membership, demand gossip, warm start, hand-over at a hot restart."""
