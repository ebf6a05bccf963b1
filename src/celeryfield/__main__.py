"""Entry point of ``celeryfield`` and ``python -m celeryfield``."""

import sys

from celeryfield.internal import early_signals


def main() -> None:
    """Imports and runs the command line."""
    # Other commands end at once on a signal, as users expect.
    is_node = sys.argv[1:2] == ["node"]
    if is_node:
        early_signals.hold()
    from celeryfield.cli import main as command_line

    try:
        command_line.main()
    finally:
        if is_node:
            # The event loop has restored the default handlers.
            early_signals.ignore()


if __name__ == "__main__":
    main()
