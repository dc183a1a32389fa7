"""The explorer: simulates members of a fleet under many orders of events and checks their guarantees."""
