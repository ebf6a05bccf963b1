"""JSON-lines logs on standard output."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from celeryfield.internal.schema import settings as settings_schema


def configure(settings: settings_schema.NodeSettings) -> None:
    """Sends all logs of this process to standard output as JSON lines."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={
            "node": settings.node.id,
            "zone": settings.node.zone,
        },
    )
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log.level.upper())
    # A reader of standard output that went away must not cost a traceback per
    # line; the metrics stay available.
    logging.raiseExceptions = False
    # One line per HTTP request would cost more than routing it.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)
