"""Stand-ins of the platform, the database instances and the clients for the review's scripts.

They need nothing but the standard library of Python and follow the published pages.
"""
