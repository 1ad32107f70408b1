"""Shared vocabulary of all packages: clock, model, settings, documents, codec, errors."""
