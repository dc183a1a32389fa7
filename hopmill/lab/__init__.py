"""The laboratory: a fleet of couriers and its partners in virtual time. docs/lab.md has the design."""
