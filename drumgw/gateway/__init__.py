"""The real gatekeeper: sockets round the decision module."""
