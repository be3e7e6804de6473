"""Checks imports between the layers, and the use of platform names."""

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
# Only the platform folder and its deploy file may use these names.
PLATFORM_NAMES = re.compile(
    r'\b(frontend|control_plane|datagram_address|readiness_address'
    r'|heartbeat_address|heartbeat_interval_ms|path_prefix|max_flows'
    r'|cold_remaining_ms|forwarding_mode|echo|born|zone|zones'
    r'|MUSTARDHOLD_NODE_FILE)\b'
)
# The pure layers do no input or output, and read no clock.
FORBIDDEN_IN_PURE_LAYERS = {'trio', 'socket', 'time', 'httpx', 'os', 'random'}
PURE_LAYERS = {'tables', 'systems'}


def imported_modules(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Yield the line number and full name of each imported module."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from ((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.lineno, node.module


def find_forbidden_imports(path: Path, layer: str) -> Iterator[str]:
    """Yield an error for each import that the layer of a file forbids."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    for line, module in imported_modules(tree):
        top, _, rest = module.partition('.')
        other = rest.partition('.')[0]
        if top == PACKAGE and other not in ALLOWED[layer]:
            yield f'{path}:{line}: {layer} may not import {module}'
        if top in {'standins', 'tools', 'tests'}:
            yield f'{path}:{line}: the product may not import {module}'
        if layer in PURE_LAYERS and top in FORBIDDEN_IN_PURE_LAYERS:
            yield f'{path}:{line}: {layer} may not import {module}'


def find_platform_names() -> Iterator[str]:
    """Yield an error for each platform name outside the platform folder."""
    package = ROOT / 'src' / PACKAGE
    for path in sorted(package.rglob('*.py')):
        if path.relative_to(package).parts[0] == PLATFORM:
            continue
        lines = path.read_text(encoding='utf-8').splitlines()
        for number, line in enumerate(lines, start=1):
            found = PLATFORM_NAMES.search(line)
            if found is not None:
                yield f"{path}:{number}: {found[0]} is the platform's name"


def find_standin_imports() -> Iterator[str]:
    """Yield an error for each import of the product by a stand-in."""
    for path in sorted((ROOT / 'standins').glob('*.py')):
        tree = ast.parse(path.read_text(encoding='utf-8'))
        for line, module in imported_modules(tree):
            if module.partition('.')[0] == PACKAGE:
                yield f'{path}:{line}: a stand-in may not import {module}'


def main() -> int:
    """Check every layer and print the errors; return 1 if there are any."""
    errors = [
        error
        for layer in ALLOWED
        for path in sorted((ROOT / 'src' / PACKAGE / layer).glob('*.py'))
        for error in find_forbidden_imports(path, layer)
    ]
    errors.extend(find_standin_imports())
    errors.extend(find_platform_names())
    for error in errors:
        print(error)
    print(f'import layers: {len(errors)} errors')
    return 1 if errors else 0


if __name__ == '__main__':
    sys.exit(main())
