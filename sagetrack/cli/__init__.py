"""The commands of `sagetrack`, one file a command or group; `app` puts them together."""
