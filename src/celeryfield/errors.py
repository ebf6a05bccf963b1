"""Public errors.

Each layer under ``internal/`` defines its own subclass of
``CeleryfieldError`` and converts the errors of lower layers, so that callers
handle the errors of one layer only.
"""

__all__ = ["CeleryfieldError", "SettingsError"]


class CeleryfieldError(Exception):
    """Base class of all errors that celeryfield raises."""


class SettingsError(CeleryfieldError):
    """Settings or a file set that cannot be used.

    The message contains the file, section, key and value, and how to correct
    them.
    """
