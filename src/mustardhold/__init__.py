"""Layer-4 load balancer whose instances share the state of connections."""
