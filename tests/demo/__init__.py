"""A demonstration: two entry daemons under a mixed load while parts fail."""
