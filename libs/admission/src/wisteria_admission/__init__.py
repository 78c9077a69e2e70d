"""Adaptive concurrency limit, priority queue and load shedding."""
