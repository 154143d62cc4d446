"""The project's own laboratory: stand-ins, load, troubles, an independent judge and reports."""
