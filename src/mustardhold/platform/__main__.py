"""Entry point of ``python -m mustardhold.platform balancer|control``."""

import gc
import importlib
import signal
import sys
from collections.abc import Sequence

from mustardhold.platform.arguments import ProgramArguments, read_arguments
from mustardhold.platform.exit_codes import EXIT_USAGE
from mustardhold.tables.outcomes import Err


def main(arguments: Sequence[str]) -> int:
    """Run the program that is named by the first argument.

    SIGHUP is ignored during the imports, which take some tenths of a second:
    its default action would end the process. A reload that arrives in that
    time is not lost, because the settings are read after the imports.

    Returns
    -------
    int
        The exit code of the program, or 2 if the arguments are wrong.
    """
    read = read_arguments(arguments)
    if isinstance(read, Err):
        sys.stderr.write(f'{read.error}\n')
        return EXIT_USAGE
    chosen = read.value
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported objects live as long as the process, so garbage collection
    # during the imports would free nothing.
    gc.disable()
    first_stage = load_first_stage(chosen)
    program = importlib.import_module(f'mustardhold.platform.{chosen.program}')
    gc.freeze()
    gc.enable()
    exit_code: int = program.run(*first_stage)
    return exit_code


def load_first_stage(chosen: ProgramArguments) -> tuple[object, ...]:
    """Run the first stage of a program that has one.

    Returns
    -------
    tuple
        Arguments for the rest of the program.
    """
    if chosen.program != 'control':
        return (chosen.opening_hedge_share,)
    early = importlib.import_module('mustardhold.platform.early_control')
    return (early.start(),)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
