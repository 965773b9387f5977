"""Parts that every program uses: logs, metrics, health, ticks and shutdown."""
