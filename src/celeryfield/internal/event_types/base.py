"""Base of all events of the log."""

import dataclasses
import logging
from typing import ClassVar


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One line of the log.

    Attributes:
        message: Name of the event.
        level: Level of the line.
        per_second: Lines of this event and outcome in each second; the others
            are counted and left out. None keeps all. Of what went well, one
            line is kept.
    """

    message: ClassVar[str]
    level: ClassVar[int] = logging.INFO
    per_second: ClassVar[int | None] = 10
