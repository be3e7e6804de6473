"""Processor time and memory of actions, within one process."""

import gc
import time
import tracemalloc
from collections.abc import Callable


def processor_seconds(action: Callable[[], object]) -> float:
    """Measure the processor time of an action, without collections."""
    gc.collect()
    gc.disable()
    start = time.process_time()
    action()
    spent = time.process_time() - start
    gc.enable()
    return spent


def memory_of(build: Callable[[], object]) -> float:
    """Measure the bytes that stay allocated after building something."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size
