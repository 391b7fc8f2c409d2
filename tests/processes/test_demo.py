"""The demo script, on a small deployment of its own."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from .deployment import LIMIT_S, Deployment

SCRIPT = Path(__file__).resolve().parents[2] / "scripts" / "demo.sh"


def start(folder):
    """Start the script in a session of its own, as a terminal would, and wait until it is up."""
    commands = folder / "bin"
    commands.mkdir()
    wrapper = commands / "hibiscushaven"
    wrapper.write_text(f'#!/bin/sh\nexec {sys.executable} -m hibiscushaven "$@"\n')
    wrapper.chmod(0o755)
    process = subprocess.Popen(
        ["bash", str(SCRIPT), str(Deployment(folder).path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
        env=os.environ | {"PATH": f"{commands}:{os.environ['PATH']}"},
    )
    lines = []
    for line in process.stdout:
        lines.append(line)
        if "Press Ctrl-C" in line:
            return process
    raise AssertionError("".join(lines))


def children(process):
    return Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()


def test_ctrl_c_stops_every_process(tmp_path):
    """Guards against processes left behind, and against a Ctrl-C that cuts the handover short."""
    process = start(tmp_path)
    started = children(process)
    assert len(started) == 7
    os.killpg(process.pid, signal.SIGINT)
    output, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 0
    assert "Stopped." in output and "killed" not in output
    assert [pid for pid in started if Path(f"/proc/{pid}").exists()] == []


def test_demo_names_a_process_that_ended(tmp_path):
    """Guards against a demo that goes on with a part missing."""
    process = start(tmp_path)
    os.kill(int(children(process)[0]), signal.SIGKILL)
    output, _ = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 1
    assert "error: process platform ended early" in output
