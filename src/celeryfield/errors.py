"""Public errors.

Each layer under ``internal/`` defines its own subclass of
``CeleryfieldError`` and converts errors of the layers below, so that a caller
of a layer never handles errors of two layers.
"""

__all__ = ["CeleryfieldError", "SettingsError"]


class CeleryfieldError(Exception):
    """Base class of all errors that celeryfield raises on purpose."""


class SettingsError(CeleryfieldError):
    """Settings or a file set that cannot be used.

    The message names file, section, key and value, and what to do next.
    """
