"""Python tools that the shell scripts in script/ run."""
