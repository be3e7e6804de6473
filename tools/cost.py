"""Measures processor time and memory of functions in this process."""

import gc
import time
import tracemalloc
from collections.abc import Callable


def processor_seconds(action: Callable[[], object]) -> float:
    """Measure the processor time of an action, with garbage collection off."""
    gc.collect()
    gc.disable()
    start = time.process_time()
    action()
    spent = time.process_time() - start
    gc.enable()
    return spent


def memory_of(build: Callable[[], object]) -> float:
    """Measure the bytes that are still allocated after a build."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size
