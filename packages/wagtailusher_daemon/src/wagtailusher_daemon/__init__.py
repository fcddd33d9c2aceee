"""The entry daemon: options, start-up, HTTP interfaces, fleet protocols, metrics and traces."""
