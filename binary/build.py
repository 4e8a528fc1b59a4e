"""Build ``dist/carawayfold``: one executable file with all that it imports."""

from __future__ import annotations

import compileall
import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

TARGET = Path("dist/carawayfold")
#: Parts of packages that are not needed to run.
UNUSED = ("*.dist-info", "**/tests", "**/__pycache__", "bin", "**/*.pyi", "**/*.pyx")


def main() -> None:
    """Build the file."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--disable-pip-version-check", "--target", str(root), "."]
        subprocess.run(command, check=True)
        for pattern in UNUSED:
            for path in root.glob(pattern):
                remove(path)
        shutil.copy(Path(__file__).with_name("bootstrap.py"), root / "bootstrap.py")
        # Compiled here: out of an archive, every start would compile again.
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
    """Remove a file or folder."""
    if path.is_dir():
        shutil.rmtree(path)
    elif path.exists():
        path.unlink()


if __name__ == "__main__":
    main()
