"""Types of log events, grouped by subject."""
