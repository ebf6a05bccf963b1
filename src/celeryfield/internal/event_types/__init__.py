"""Types of the events of the log, by what they tell about."""
