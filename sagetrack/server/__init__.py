"""The gateway process: start, configuration reload, hot restart, admin interface and shutdown."""
