"""Agreement between couriers: membership, the register, its leases. No I/O, no clock; see docs/fleet.md."""
