"""A fleet of the target's sizes, measured on one machine: probes that each sweep one size of it.

Each role has a module of probes: `gateway`, `agent`, `peers`, `servers`, `control`. They run a simulated
gateway: the state machines of the real one (settings, policy, membership, datagrams), fed by hand, without
sockets. `real_gateway` measures one real process beside them. docs/design/scale.md says how the figures are
made, docs/CAPACITY.md what they are.
"""
