"""Command line: one module for each group of commands, and the runners that these import when called."""
