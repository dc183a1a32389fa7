"""The laboratory: a fleet of couriers and what it serves, in virtual time. docs/lab.md has the design."""
