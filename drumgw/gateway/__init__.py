"""The gateway on sockets: all that surrounds the policy engine in a running process."""
