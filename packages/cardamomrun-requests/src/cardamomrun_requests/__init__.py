"""The request path: front door, upstream connections, limits, retries, claims."""
