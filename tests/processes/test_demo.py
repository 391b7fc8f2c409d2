"""The demo script on a small deployment."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from .deployment import TEST_TIMEOUT_S, Deployment

SCRIPT = Path(__file__).resolve().parents[2] / "scripts" / "demo.sh"


def start_demo(directory):
    """Start the script in a new session, as a terminal does, and wait until it is ready."""
    bin_directory = directory / "bin"
    bin_directory.mkdir()
    wrapper = bin_directory / "hibiscushaven"
    wrapper.write_text(f'#!/bin/sh\nexec {sys.executable} -m hibiscushaven "$@"\n')
    wrapper.chmod(0o755)
    process = subprocess.Popen(
        ["bash", str(SCRIPT), str(Deployment(directory).path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
        # A shell cannot trap a signal that is ignored at its start.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
        env=os.environ | {"PATH": f"{bin_directory}:{os.environ['PATH']}"},
    )
    lines = []
    for line in process.stdout:
        lines.append(line)
        if "Press Ctrl-C" in line:
            return process
    raise AssertionError("".join(lines))


def child_pids(process):
    return Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()


def test_ctrl_c_stops_every_process(tmp_path):
    """Guards against processes left running, and against a Ctrl-C that interrupts the handover."""
    process = start_demo(tmp_path)
    started_pids = child_pids(process)
    assert len(started_pids) == 7
    os.killpg(process.pid, signal.SIGINT)
    output, _ = process.communicate(timeout=TEST_TIMEOUT_S)
    assert process.returncode == 0
    assert "Stopped." in output and "killed" not in output
    assert [pid for pid in started_pids if Path(f"/proc/{pid}").exists()] == []


def test_demo_names_a_process_that_ended(tmp_path):
    """Guards against a demo that continues after one of its processes ended."""
    process = start_demo(tmp_path)
    os.kill(int(child_pids(process)[0]), signal.SIGKILL)
    output, _ = process.communicate(timeout=TEST_TIMEOUT_S)
    assert process.returncode == 1
    assert "error: process platform ended early" in output
