"""Configuration files: their keys, their validation, and their conversion to start-up settings."""
