"""Command line of the operators and the demonstration."""
