"""Formats of addresses, names and durations in settings."""

import ipaddress
import re
from datetime import timedelta

from mustardhold.tables.outcomes import Err, Ok, Outcome

MAX_PORT = 2**16 - 1
BROADCAST = ipaddress.IPv4Address('255.255.255.255')
MAX_NAME_LENGTH = 64
MAX_DURATION = timedelta(days=1)
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*', re.ASCII)
PORT_PATTERN = re.compile('[0-9]{1,5}', re.ASCII)
DURATION_PATTERN = re.compile(
    r'(?P<number>[0-9]{1,9}(?:\.[0-9]{1,6})?)(?P<unit>ms|s|m|h)?', re.ASCII
)
UNITS = {
    'ms': timedelta(milliseconds=1),
    's': timedelta(seconds=1),
    'm': timedelta(minutes=1),
    'h': timedelta(hours=1),
}


def find_address_error(text: str) -> str:
    """Describe the error in an ``"ip:port"``; empty if it is valid."""
    host, colon, port = text.rpartition(':')
    if not colon:
        return f'{text!r} has no port; write "ip:port"'
    try:
        version = ipaddress.ip_address(host.strip('[]')).version
    except ValueError:
        return f'{host!r} is not an IPv4 address'
    if version != 4:
        return f'{host!r} is an IPv6 address; only IPv4 is supported'
    is_number = PORT_PATTERN.fullmatch(port) is not None
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return f'port {port!r} is not a number from 1 to {MAX_PORT}'
    return ''


def find_host_address_error(text: str) -> str:
    """Describe the error in an ``"ip:port"`` of one host; empty if valid.

    A packet to anything else would not reach a host: the socket would look it
    up as a name, or refuse it.
    """
    error = find_address_error(text)
    if error:
        return error
    host = text.rpartition(':')[0]
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return f'{host!r} is not an IPv4 address'
    if ip.is_unspecified or ip.is_multicast or ip == BROADCAST:
        return f'{host!r} is not the address of one host'
    return ''


def find_name_error(text: str) -> str:
    """Describe the error in a name; empty if it is valid."""
    if len(text) > MAX_NAME_LENGTH:
        return f'is longer than {MAX_NAME_LENGTH} characters'
    if NAME_PATTERN.fullmatch(text) is None:
        return (
            f'{text!r} is not a name; use letters, digits, ".", "_" and "-", '
            'a letter or digit first'
        )
    return ''


def parse_duration(text: str) -> Outcome[timedelta, str]:
    """Parse a positive duration with its unit, such as ``300ms`` or ``2s``."""
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        return Err(f'{text!r} is not a duration such as "300ms" or "2s"')
    if match['unit'] is None:
        return Err(f'{text!r} has no unit; write ms, s, m or h')
    duration = float(match['number']) * UNITS[match['unit']]
    if not timedelta(0) < duration <= MAX_DURATION:
        return Err(f'{text!r} is not within 1ms and 24h')
    return Ok(duration)
