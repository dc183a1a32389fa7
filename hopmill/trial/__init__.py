"""Trials: many courier processes, a load, and faults between them; docs/fleet.md."""
