"""A check-in of another writer ends every control instance."""

import asyncio
import json
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import world as base  # noqa: E402

CONTROLS = ['control-1', 'control-2', 'control-3']
BALANCERS = ['balancer-1', 'balancer-2']
CHECK_INS = 6
ENDS = 3
PAUSE_SECONDS = 6.0
# More than an integer of 64 bits holds.
SLOTS = 10**20


async def send_foreign_check_in(world: base.World, number: int) -> None:
    """Send a check-in of another writer, for a service that no one named."""
    body = {
        'service': 'backup-agent',
        'address': f'{world.prefix}.9.1:{base.SERVER_PORT}',
        'zone': 'zone-a',
        'version': '0.3',
        'slots': SLOTS,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'sequence': number,
        'born': time.time_ns() // 1_000_000,
    }
    answer = await base.call(
        base.control_address(world, CONTROLS[0]),
        'POST',
        '/api/instances/i-00c0ffee/heartbeat',
        json.dumps(body).encode(),
    )
    world.note(f'check-in of another writer: {body} -> {answer}')


async def case(world: base.World) -> None:
    """Send a few foreign check-ins, and count what ends by itself."""
    await base.start_system(world, CONTROLS, BALANCERS)
    server = base.Server(world, 1, 'werkstatt')
    await base.start_server(world, server, CONTROLS)
    await base.wait_ready(world, len(BALANCERS))
    await asyncio.sleep(4)
    for number in range(1, CHECK_INS + 1):
        if world.has_trouble:
            await send_foreign_check_in(world, number)
        await asyncio.sleep(PAUSE_SECONDS)
    read = await base.read_configuration(world, CONTROLS, 10)
    world.note(f'version that is read at the end: {read}')
    ends = Counter(name for _, name, _ in world.own_ends)
    world.note(f'processes that ended by themselves: {dict(ends)}')
    often = [one for one in CONTROLS if ends[one] >= ENDS]
    if 2 * len(often) >= len(CONTROLS):
        world.break_rule(
            f'Fault: on {len(often)} of {len(CONTROLS)} machines of the core, '
            f'processes ended by themselves {ENDS} times, with no '
            'disturbance there'
        )


sys.exit(base.run_case(FOLDER, case))
