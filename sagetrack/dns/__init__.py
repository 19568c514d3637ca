"""DNS over UDP and TCP: listener, upstream servers, response cache, and zones that are served locally."""
