"""Entry module of the executable archive: loads extension modules from it.

Python imports pure modules from a zip archive, but the loader of extension modules
needs a file to map. Their bytes are copied into an anonymous file in memory, which is
private to the process and never written to a disk.
"""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType

#: File suffixes of extension modules for this interpreter.
SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


class ArchivedExtensions(importlib.abc.MetaPathFinder):
    """Finder for extension modules in the archive.

    Parameters
    ----------
    path : str
        Path of the archive.
    """

    def __init__(self, path: str) -> None:
        self.archive = zipfile.ZipFile(path)
        #: Members of the archive by module name.
        self.members = {
            name[: -len(suffix)].replace("/", "."): name
            for name in self.archive.namelist()
            for suffix in SUFFIXES
            if name.endswith(suffix)
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Return the spec of an archived extension module, or None if absent."""
        member = self.members.get(fullname)
        if member is None:
            return None
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with os.fdopen(descriptor, "wb", closefd=False) as memory:
            memory.write(self.archive.read(member))
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


def main() -> None:
    """Run the command line from the archive."""
    sys.meta_path.insert(0, ArchivedExtensions(sys.path[0]))
    from carawayfold.commands import main as run

    run()
