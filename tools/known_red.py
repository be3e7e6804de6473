"""Runs all tests except those that KNOWN-RED.txt lists as failing.

An entry of that file is a line ``test | command and seed | seen | issue``.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
KNOWN_RED_FILE = ROOT / 'KNOWN-RED.txt'


def read_entries() -> list[str]:
    """Read the entries, skipping comments and empty lines."""
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text(encoding='utf-8').splitlines()
    return [line for line in lines if line and not line.startswith('#')]


def main() -> int:
    """Run pytest without the listed tests, then print the list."""
    entries = read_entries()
    names = [entry.split('|')[0].strip() for entry in entries]
    deselected = [f'--deselect={name}' for name in names]
    code = subprocess.call(
        [sys.executable, '-m', 'pytest', *deselected], cwd=ROOT
    )
    for entry in entries:
        print(f'known red, not run: {entry}')
    return code


if __name__ == '__main__':
    sys.exit(main())
