"""Descriptors of the process: what is idle makes room when none is left."""

from pollenbay.node import Node


async def free_descriptors(node: Node) -> None:
    """Close what is idle, so that a connection that waits can be accepted."""
    node.metrics.record_no_descriptor()
    await node.links.close_all_idle()
    await node.watch.close_longest_idle()
