"""The local upstream: its announcements and reports, and its HTTP client."""
