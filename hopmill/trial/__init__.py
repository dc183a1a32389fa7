"""Trials: many courier processes, a load, and injected faults; docs/fleet.md."""
