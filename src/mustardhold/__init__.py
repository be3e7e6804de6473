"""Layer-4 load balancing by instances that share every connection."""
