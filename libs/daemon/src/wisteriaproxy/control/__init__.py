"""Control messages between daemons: kind numbers and encoding."""

from .codec import ControlFault, decode_control, encode_control
from .kinds import KINDS, NUMBERS

__all__ = ["KINDS", "NUMBERS", "ControlFault", "decode_control", "encode_control"]
