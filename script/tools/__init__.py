"""Helpers of the scripts."""
