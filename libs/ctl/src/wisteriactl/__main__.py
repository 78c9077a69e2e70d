"""Entry point of `python -m wisteriactl`."""

from .cli import main

main()
