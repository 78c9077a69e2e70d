"""Ranges of numbers from outside, so that every message between daemons can hold them."""

WHOLE_MAX = 2**63 - 1
"""Highest whole number of a control message, whose integers are signed and have 64 bits."""
COUNT_MAX = 2**16 - 1
"""Highest number of calls in the head of an answer."""
