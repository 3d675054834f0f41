"""Forward requests to backend servers and their responses to callers."""
