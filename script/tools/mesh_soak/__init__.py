"""Soak of the platform build: seeded disruptions of real processes, judged from outside."""
