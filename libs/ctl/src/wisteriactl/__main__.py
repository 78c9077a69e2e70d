"""Run the command-line tool as a module."""

from .cli import main

main()
