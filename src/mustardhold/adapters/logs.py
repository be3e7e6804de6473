"""JSON log lines, one for each change of state."""

import logging

from pythonjsonlogger.json import JsonFormatter

FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


def start_logs(program: str, instance_id: str) -> logging.Logger:
    """Write JSON lines to standard error.

    Returns
    -------
    logging.Logger
        The program's logger.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter(
            FIELDS, static_fields={'program': program, 'instance': instance_id}
        )
    )
    logger = logging.getLogger('mustardhold')
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return logger
