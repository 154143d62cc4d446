"""The files that operators write: their keys, their checks, and the settings that they make."""
