"""Typed events, actions and settings: the interface between the policy engine and its callers.

`events` are the engine's inputs, `actions` its outputs, and `settings` its start-up configuration.
`settings_reader` converts the platform's settings, with the platform's names, into `settings`.
"""
