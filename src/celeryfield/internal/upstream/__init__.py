"""The upstream beside this node: its announcements and the HTTP client."""
