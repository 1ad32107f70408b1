"""Knowledge of backend servers: announcements, evidence, ejection, selection."""
