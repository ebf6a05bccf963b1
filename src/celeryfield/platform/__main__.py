"""Starts the node beside one upstream of the platform."""

import gc
import os
import sys

from celeryfield.internal import early_signals


def main() -> int:
    """Imports the program and runs the node until SIGTERM.

    Returns:
        The exit status of the process.
    """
    early_signals.hold()
    # The objects that imports create live as long as the process, so
    # collections would only traverse them. The node enables them again.
    gc.disable()
    # aiohttp reads the certificates of all authorities when it is imported. No
    # peer of a node on the platform speaks TLS.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from celeryfield.platform import process

    try:
        return process.main()
    finally:
        # The event loop has restored the default handlers.
        early_signals.ignore()


if __name__ == "__main__":
    sys.exit(main())
