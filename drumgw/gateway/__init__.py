"""The gateway process: networking, discovery and the shared counter around the policy engine."""
