"""DNS over UDP and TCP: downstream and upstream, a cache, and zones that the gateway answers itself."""
