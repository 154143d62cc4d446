"""The command line: one module for each group of commands, and the runners that they import when called."""
