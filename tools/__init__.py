"""Development programs: measurements, soak test, demonstration, lock files."""
