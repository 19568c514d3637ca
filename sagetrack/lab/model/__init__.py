"""The model of a fleet, independent of the clock: scenarios, servers, discovery, clients, load and faults."""
