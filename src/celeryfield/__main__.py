"""Entry point of ``python -m celeryfield``."""

from celeryfield.cli.main import main

if __name__ == "__main__":
    main()
