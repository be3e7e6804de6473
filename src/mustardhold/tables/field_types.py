"""String types of settings whose format is validated."""

from typing import Annotated, Final

import msgspec

FORMAT_KEY: Final = 'form'
ADDRESS_FORMAT: Final = 'address'
NAME_FORMAT: Final = 'name'

Address = Annotated[str, msgspec.Meta(extra={FORMAT_KEY: ADDRESS_FORMAT})]
"""IPv4 address and port, as ``"ip:port"``."""

Name = Annotated[str, msgspec.Meta(extra={FORMAT_KEY: NAME_FORMAT})]
"""Identifier of letters, digits, ``.``, ``_`` and ``-``."""
