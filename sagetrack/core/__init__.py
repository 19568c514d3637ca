"""The gateway without a protocol: requests, events in and actions out, drain, metrics, clocks and log."""
