"""Settings files, in YAML."""

from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err, Ok, Outcome
from mustardhold.tables.routing import Finding

Options = TypeVar('Options', BalancerOptions, ControlOptions)


def load_options(
    path: Path, kind: type[Options]
) -> Outcome[Options, tuple[Finding, ...]]:
    """Read and check a settings file.

    Returns
    -------
    Outcome
        The options, or everything that is wrong with the file.
    """
    try:
        tree = yaml.safe_load(path.read_text(encoding='utf-8'))
        return Ok(msgspec.convert(tree, kind))
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        return Err((Finding(str(path), str(error)),))
