"""Account rates shared across a fleet."""
