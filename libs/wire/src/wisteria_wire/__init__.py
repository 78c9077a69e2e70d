"""Framed, authenticated links between daemons and HTTP on the call path."""
