"""The wisteriactl command-line tool."""
