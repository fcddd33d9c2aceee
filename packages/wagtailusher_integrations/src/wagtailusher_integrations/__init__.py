"""The platform and the back ends, one folder each."""
