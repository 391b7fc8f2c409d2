"""Run the command line with ``python -m hibiscushaven``."""

from hibiscushaven.commands import main

if __name__ == "__main__":
    main()
