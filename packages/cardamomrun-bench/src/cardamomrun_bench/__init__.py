"""Stand-in backend server, load tool, experiments and capacity slopes."""
