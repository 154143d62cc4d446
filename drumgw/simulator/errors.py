"""Errors in the lines that the simulator sends."""


class WireError(Exception):
    """A line that violates the protocol; the text gives the reason, in one line."""


class MalformedMessageError(WireError):
    """Not JSON, not an object with one key, or a field is missing or of the wrong type."""


class UnexpectedMessageError(WireError):
    """A well-formed message outside a round, or for an instance that is not running."""
