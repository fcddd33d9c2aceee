"""The operators' HTTP interface: paths and answers."""
