"""The test suite; `python3 -m unittest` from the root runs all of it."""

from loguru import logger

logger.remove()  # log lines would drown the test runner's own output
