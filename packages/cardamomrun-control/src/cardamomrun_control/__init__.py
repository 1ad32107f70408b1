"""Control state: durable log, agreement, audit trail, operators interface."""
