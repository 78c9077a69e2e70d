"""Daemon for platforms whose key-value store lists the VMs and publishes the configuration.

On such a platform a VM that has left the list may still run and links between daemons use no
certificates, so no daemon owns slots: account rates are divided among the daemons by demand, and
a non-idempotent request is never sent again once it may have run.
"""
