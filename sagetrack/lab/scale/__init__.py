"""Scale benchmark: estimates on one machine what a large target fleet costs.

Each probe sweeps one size of the fleet, such as the number of servers, while the other sizes are fixed. There
is one module of probes per role: `gateway`, `agent`, `peers`, `servers` and `control`. Most probes run a
simulated gateway, which uses the state machines of the real one (settings, policy, membership, datagrams)
with direct calls instead of sockets. `real_gateway` measures one real process. docs/design/scale.md describes
the method, and docs/CAPACITY.md has the results.
"""
