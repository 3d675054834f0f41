"""Connect the gateway to the users' platform in one process."""
