"""Stand-ins, load generator, scenarios and benchmarks for developing lavenderway."""
