"""The typed messages between the policy engine and what surrounds it."""
