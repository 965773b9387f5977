"""Decision logic of the pool: functions over the tables, without I/O."""
