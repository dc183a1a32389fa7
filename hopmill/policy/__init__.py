"""All decisions of a courier, one kind of decision per file. Their types are in hopmill/interface.py.

The usual path is a full-jitter retry as in "Retries (Agents SDK design)": a failed call is repeated after
random(0, min(cap, base * 2**attempt)), a few times at most; a refusal for overload ends the message.
"""
