"""The helper on each application machine."""

from mdproxy.part import Part

__all__ = ["Part"]
