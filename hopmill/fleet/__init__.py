"""Agreement between couriers: members, the register, its leases. No I/O and no clock in it; docs/fleet.md."""
