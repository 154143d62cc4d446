"""What can be wrong with a line of the simulator's wire."""


class WireError(Exception):
    """A line that the wire does not allow; the text says why, in one line."""


class MalformedMessageError(WireError):
    """Not a message: no JSON, no object with one key, or a field that is missing or of the wrong type."""


class UnexpectedMessageError(WireError):
    """A well-formed message at a point where the wire does not allow it."""
