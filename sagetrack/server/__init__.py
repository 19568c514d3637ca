"""The gateway as a process: start, configuration reload, hot restart, admin address, shutdown."""
