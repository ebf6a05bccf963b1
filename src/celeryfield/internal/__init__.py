"""Internal modules, without any guarantee of compatibility."""
