"""Development tools: stand-ins, load generator, scenarios, soak and benchmarks."""
