"""Access to the table service, the object store and the live list of the platform."""
