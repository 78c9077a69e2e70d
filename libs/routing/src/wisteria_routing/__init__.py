"""Backend server choice, retries and poison requests."""
