"""One real gateway process with the full list and all tenants, under its part of the load.

It is measured while the servers are listed, while 200 of them change within a second, and while a zone is
lost. The entries of all servers share a few addresses: one echo server stands in for many of them.
`launcher` starts its processes, `admin` asks them for their state, `discovery` serves their list, `trial`
puts load on one, `measurement` runs everything.
"""
