"""Soak tests: courier processes under faults drawn from a seed, judged by what others observe of them."""
