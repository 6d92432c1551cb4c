"""Streams of MessagePack frames between jaylatch processes."""

from jaylatch_node.streams.connection import StreamConnection
from jaylatch_node.streams.peers import Peer, PeerPool
from jaylatch_node.streams.server import StreamServer
from jaylatch_node.streams.traffic import Traffic

__all__ = ["Peer", "PeerPool", "StreamConnection", "StreamServer", "Traffic"]
