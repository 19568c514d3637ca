"""Measurement of one real gateway process with all servers and tenants, under its share of the load.

The phases measure the listing of all servers, the change of 200 servers within a second, and the loss of a
zone. The endpoint list entries share the addresses of a few echo servers. `launcher` starts the gateway
processes, `admin` sends them admin commands, `discovery` serves the endpoint list, `trial` generates load
and list changes, and `measurement` runs all phases.
"""
