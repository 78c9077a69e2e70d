"""Stand-ins of the platform and of backend servers, and the load tool."""
