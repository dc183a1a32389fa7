"""Measurements of a courier as a process, beside an earlier revision of it in the same run."""
