"""Service discovery: polls and watches endpoint lists, parses them and passes them to the load balancer."""
