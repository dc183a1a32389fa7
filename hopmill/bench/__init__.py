"""Measurements of a courier process, compared with an earlier revision in the same run."""
