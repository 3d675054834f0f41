"""Stand-ins for the platform, runners and clients, for the review's cases."""
