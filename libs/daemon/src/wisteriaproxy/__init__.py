"""The wisteriaproxy daemon."""
