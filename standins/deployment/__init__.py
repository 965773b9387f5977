"""Stand-in for the platform of a deployment: its store, its promotions and groups of targets.

It speaks the published protocols on loopback and runs in the process of a test, which switches
faults on and off.
"""
