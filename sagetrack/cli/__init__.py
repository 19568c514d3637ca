"""The commands of `sagetrack`, one module per command or group; `app` registers them."""
