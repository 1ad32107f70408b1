"""Requests of a routing document: registration, placement and dispatch."""
