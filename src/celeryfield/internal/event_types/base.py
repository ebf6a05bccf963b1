"""Base class of all log events."""

import dataclasses
import logging
from typing import ClassVar


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One line of the log.

    Attributes:
        message: Name of the event.
        level: Log level of the line.
        per_second: Largest number of lines per second and outcome; further
            lines are counted and left out. None sets no limit. Lines with
            outcome ok have a lower limit.
    """

    message: ClassVar[str]
    level: ClassVar[int] = logging.INFO
    per_second: ClassVar[int | None] = 10
