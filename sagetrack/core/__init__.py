"""Protocol-independent parts of the gateway: request handling, send rules, draining, metrics and logging."""
