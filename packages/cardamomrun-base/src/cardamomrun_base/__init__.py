"""Modules shared by all packages: clock, model, settings, documents, codec, errors."""
