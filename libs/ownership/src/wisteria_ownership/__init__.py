"""Exactly one owner for each slot without a consensus group."""
