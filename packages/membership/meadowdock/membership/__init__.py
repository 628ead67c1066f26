"""Membership: each process has a partial view of the other processes, kept current by gossip."""

from meadowdock.membership.entry import KnownMember, MemberEntry
from meadowdock.membership.gossip import GossipMembership
from meadowdock.membership.view import CORE_ROLES, CORE_VIEW_MAX, VIEW_MAX, MembershipView

__all__ = [
    "CORE_ROLES",
    "CORE_VIEW_MAX",
    "GossipMembership",
    "KnownMember",
    "MemberEntry",
    "MembershipView",
    "VIEW_MAX",
]
