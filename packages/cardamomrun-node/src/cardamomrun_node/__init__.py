"""The node binary."""
