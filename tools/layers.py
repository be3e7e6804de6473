"""Checks the imports between the layers, and where platform names stand."""

import ast
import re
import sys
from collections.abc import Iterator
from pathlib import Path

PACKAGE = 'mustardhold'
ROOT = Path(__file__).parent.parent
ALLOWED = {
    'tables': {'tables'},
    'systems': {'systems', 'tables'},
    'adapters': {'adapters', 'systems', 'tables'},
    'daemons': {'daemons', 'adapters', 'systems', 'tables'},
    'platform': {'platform', 'daemons', 'adapters', 'systems', 'tables'},
}
PLATFORM = 'platform'
# Names of the platform; only its folder and its deploy file use them.
PLATFORM_NAMES = re.compile(
    r'\b(frontend|control_plane|datagram_address|readiness_address'
    r'|heartbeat_address|heartbeat_interval_ms|path_prefix|max_flows'
    r'|cold_remaining_ms|forwarding_mode|echo|born|zone|zones'
    r'|MUSTARDHOLD_NODE_FILE)\b'
)
# Decisions do no input or output and read no clock.
FORBIDDEN_BELOW = {'trio', 'socket', 'time', 'httpx', 'os', 'random'}
PURE_LAYERS = {'tables', 'systems'}


def imported_modules(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Yield the line and full name of each imported module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from ((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.lineno, node.module


def find_faults(path: Path, layer: str) -> Iterator[str]:
    """Yield each import of a file that its layer may not have."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for line, module in imported_modules(tree):
        top, _, rest = module.partition('.')
        other = rest.partition('.')[0]
        if top == PACKAGE and other not in ALLOWED[layer]:
            yield f'{path}:{line}: {layer} may not import {module}'
        if top in {'standins', 'tools', 'tests'}:
            yield f'{path}:{line}: the product may not import {module}'
        if layer in PURE_LAYERS and top in FORBIDDEN_BELOW:
            yield f'{path}:{line}: {layer} may not import {module}'


def find_platform_names() -> Iterator[str]:
    """Yield each use of a name of the platform outside its folder."""
    package = ROOT / 'src' / PACKAGE
    for path in sorted(package.rglob('*.py')):
        if path.relative_to(package).parts[0] == PLATFORM:
            continue
        lines = path.read_text(encoding='utf-8').splitlines()
        for number, line in enumerate(lines, start=1):
            found = PLATFORM_NAMES.search(line)
            if found is not None:
                yield f"{path}:{number}: {found[0]} is the platform's name"


def find_standin_faults() -> Iterator[str]:
    """Yield each import of the product by a stand-in."""
    for path in sorted((ROOT / 'standins').glob('*.py')):
        tree = ast.parse(path.read_text(encoding='utf-8'))
        for line, module in imported_modules(tree):
            if module.partition('.')[0] == PACKAGE:
                yield f'{path}:{line}: a stand-in may not import {module}'


def main() -> int:
    """Check every layer; exit 1 on a fault."""
    faults = [
        fault
        for layer in ALLOWED
        for path in sorted((ROOT / 'src' / PACKAGE / layer).glob('*.py'))
        for fault in find_faults(path, layer)
    ]
    faults.extend(find_standin_faults())
    faults.extend(find_platform_names())
    for fault in faults:
        print(fault)
    print(f'import layers: {len(faults)} faults')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(main())
