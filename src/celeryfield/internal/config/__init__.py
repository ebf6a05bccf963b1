"""File sets: the configuration that operators apply per team."""
