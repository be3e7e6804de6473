"""Text fields with a checked form."""

from typing import Annotated, Final

import msgspec

FORM: Final = 'form'
ADDRESS_FORM: Final = 'address'
NAME_FORM: Final = 'name'

Address = Annotated[str, msgspec.Meta(extra={FORM: ADDRESS_FORM})]
"""IPv4 address and port, as ``"ip:port"``."""

Name = Annotated[str, msgspec.Meta(extra={FORM: NAME_FORM})]
"""Identifier of letters, digits, ``.``, ``_`` and ``-``."""
