"""Communication between the programs and with targets and the platform: messages and HTTP."""
