"""Runs the operators' command-line tool."""

from __future__ import annotations

from .cli.main import main

if __name__ == "__main__":
    main()
