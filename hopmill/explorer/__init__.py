"""The explorer: register and leases under every order of events that chance finds; docs/fleet.md."""
