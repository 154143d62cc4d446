"""The test suite; `python3 -m unittest` in the repository root runs all of it."""

from loguru import logger

logger.remove()  # log lines would clutter the output of the test runner
