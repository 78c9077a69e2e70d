"""The daemon on a platform whose store names VMs and publishes the configuration.

Here a VM that leaves the list may still run, no links are certified and nothing is owned:
account rates are divided by demand, and a request that must not run twice is sent once.
"""
