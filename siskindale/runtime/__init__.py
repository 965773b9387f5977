"""Infrastructure that every program uses: logs, metrics, health, tick loop and shutdown."""
