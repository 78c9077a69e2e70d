"""At-most-once runs of non-repeatable requests."""
