"""Build ``dist/carawayfold``: one executable file with all its dependencies."""

from __future__ import annotations

import compileall
import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

#: File to build.
TARGET = Path("dist/carawayfold")
#: Patterns of files in packages that are not needed at run time.
UNUSED = ("*.dist-info", "**/tests", "**/__pycache__", "bin", "**/*.pyi", "**/*.pyx")


def main() -> None:
    """Build the executable file."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--disable-pip-version-check", "--target", str(root), "."]
        subprocess.run(command, check=True)
        for pattern in UNUSED:
            for path in root.glob(pattern):
                remove(path)
        shutil.copy(Path(__file__).with_name("bootstrap.py"), root / "bootstrap.py")
        # Compiled ahead: Python can't cache bytecode for modules in an archive and
        # would compile them at every start.
        compileall.compile_dir(root, quiet=2, legacy=True, stripdir=folder)
        TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            root,
            TARGET,
            interpreter="/usr/bin/env python3",
            main="bootstrap:main",
            compressed=True,
        )
    print(f"{TARGET}: {TARGET.stat().st_size / 2**20:.1f} MB")


def remove(path: Path) -> None:
    """Remove a file or folder if it exists."""
    if path.is_dir():
        shutil.rmtree(path)
    elif path.exists():
        path.unlink()


if __name__ == "__main__":
    main()
