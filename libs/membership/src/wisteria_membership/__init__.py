"""Which VMs are live, unreachable, paused, leaving or gone."""
