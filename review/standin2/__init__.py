"""Stand-ins and helpers of the second review; see `review/REPORT-2.md`."""
