"""The typed messages and settings that the policy engine and its surroundings share.

`events` is what the engine is told, `actions` what it asks for, `settings` what it knows from the start.
`settings_reader` turns the platform's settings into `settings`; the platform's own names end there.
"""
