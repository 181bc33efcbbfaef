"""Messages between processes; the modules are generated."""
