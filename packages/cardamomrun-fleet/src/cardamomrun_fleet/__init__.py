"""Peer links, record store, dissemination and membership."""
