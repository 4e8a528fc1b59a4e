"""Entry point of ``python -m carawayfold``."""

from __future__ import annotations

from carawayfold.commands import main

if __name__ == "__main__":
    main()
