"""Extension modules load from the executable archive without writing any file."""

from __future__ import annotations

import subprocess
import sys
import zipapp
from pathlib import Path

import msgspec


def test_extension_modules_load_from_the_archive(tmp_path):
    root = tmp_path / "root"
    package = root / "msgspec"
    package.mkdir(parents=True)
    for path in Path(msgspec.__file__).parent.iterdir():
        if path.suffix in (".py", ".so"):
            (package / path.name).write_bytes(path.read_bytes())
    commands = root / "carawayfold" / "commands"
    commands.mkdir(parents=True)
    (root / "carawayfold" / "__init__.py").write_text("")
    source = "import msgspec\ndef main(): print(msgspec.json.encode([1]).decode())\n"
    (commands / "__init__.py").write_text(source)
    bootstrap = Path("binary/bootstrap.py").read_bytes()
    (root / "bootstrap.py").write_bytes(bootstrap)
    archive = tmp_path / "program"
    zipapp.create_archive(root, archive, main="bootstrap:main")
    before = sorted(tmp_path.iterdir())
    command = [sys.executable, "-I", "-S", str(archive)]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    assert completed.stdout == "[1]\n", completed.stderr
    assert sorted(tmp_path.iterdir()) == before
