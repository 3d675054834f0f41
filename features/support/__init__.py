"""Hold what the steps of all features share."""
