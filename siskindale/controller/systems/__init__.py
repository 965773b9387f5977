"""Decision logic of the controller: functions over the tables, without I/O."""
