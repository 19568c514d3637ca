"""Service discovery: endpoint lists are polled and watched, parsed, and handed to the load balancer."""
