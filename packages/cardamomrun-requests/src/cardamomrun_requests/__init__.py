"""The request path: front listener, upstream connections, limits, retries, claims."""
