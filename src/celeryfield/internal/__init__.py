"""Private modules; no compatibility is promised."""
