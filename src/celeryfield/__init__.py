"""Overload control layer for service call graphs."""

__version__ = "0.1.0"

__all__ = ["__version__"]
