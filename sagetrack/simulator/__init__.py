"""The load balancer on the simulator's text protocol."""
