"""Starts and stops the processes of a fleet."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

#: Seconds after which a process that doesn't stop is killed.
STOP_TIMEOUT = 20.0


@dataclass(eq=False)
class Process:
    """A process that was started by this program.

    Attributes
    ----------
    port : int
        Port on which it listens; 0 if it doesn't report one.
    control : int
        Port for the faults of a proxy or for RPCs of a router.
    """

    name: str
    popen: subprocess.Popen[str]
    port: int = 0
    control: int = 0

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


@dataclass
class Processes:
    """Context manager that owns processes and kills them at exit.

    Attributes
    ----------
    folder : Path
        Folder of the settings and logs of the processes.
    """

    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="carawayfold-"))
    )
    running: list[Process] = field(default_factory=list)

    def __enter__(self) -> Processes:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.running:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.running:
            process.popen.wait()
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()

    def start(
        self, name: str, module: str, *words: object, logged: bool = False
    ) -> Process:
        """Start ``python -m module words`` without waiting for it.

        Its output is written to ``NAME.out`` if `logged`, and to a pipe otherwise.
        """
        command = [sys.executable, "-m", module, *map(str, words)]
        with contextlib.ExitStack() as files:
            errors = files.enter_context(self._open(f"{name}.log"))
            output = (
                files.enter_context(self._open(f"{name}.out"))
                if logged
                else subprocess.PIPE
            )
            popen = subprocess.Popen(command, stdout=output, stderr=errors, text=True)
        process = Process(name, popen)
        self.running.append(process)
        return process

    def _open(self, name: str) -> IO[str]:
        return (self.folder / name).open("a")

    def start_standin(self, name: str, *words: object) -> Process:
        """Start a stand-in and wait until it listens."""
        process = self.start(name, "standins", *words)
        line = process.popen.stdout.readline().split()
        if not line or line[0] != "ready":
            raise RuntimeError(f"{name} did not start: {self.log_of(name)}")
        process.port = int(line[1])
        process.control = int(line[2]) if len(line) > 2 else 0
        return process

    def start_router(self, name: str, settings: dict[str, Any]) -> Process:
        """Start a router without waiting for it; see `wait_listening`."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self.start(name, "carawayfold", "run", path)

    def wait_listening(self, process: Process) -> None:
        """Wait until a router listens, and record its ports."""
        line = process.popen.stdout.readline().split()
        if not line or line[0] != "listening":
            raise RuntimeError(f"{process.name}: {self.log_of(process.name)}")
        process.port = int(line[1])
        process.control = int(line[2])

    def log_of(self, name: str) -> str:
        """Return the standard error of a process."""
        return (self.folder / f"{name}.log").read_text()

    def output_of(self, name: str) -> str:
        """Return the standard output of a process that was started as logged."""
        return (self.folder / f"{name}.out").read_text()

    def stop(self, process: Process, number: int = signal.SIGTERM) -> int:
        """Stop a process by a signal and return its exit code."""
        process.signal(number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.popen.wait(STOP_TIMEOUT)
        if process.popen.poll() is None:
            process.kill()
        return process.popen.returncode
