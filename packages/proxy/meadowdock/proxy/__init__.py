"""The helper on each application machine."""

from meadowdock.proxy.part import Part

__all__ = ["Part"]
