"""Exit codes of the platform programs."""

EXIT_OK = 0
EXIT_USAGE = 2
