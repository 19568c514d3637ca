"""DNS over UDP and TCP: a front for clients, a back for upstream servers, a cache and zones of its own."""
