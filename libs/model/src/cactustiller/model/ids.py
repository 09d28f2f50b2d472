"""Identifiers used throughout the workspace.

A cell is divided into partitions, each owned by one member at a time: a home owns
the jobs of its teams, a shard the workers of a rack, and a pool the executors' slots
of a service. An `Epoch` numbers the owners of a partition or cell, and an `Attempt`
the attempts of a task.
"""

from typing import NewType

TeamId = NewType("TeamId", str)
QueueName = NewType("QueueName", str)
KeyId = NewType("KeyId", str)
JobId = NewType("JobId", str)
WorkerId = NewType("WorkerId", str)
InstanceId = NewType("InstanceId", str)
MemberId = NewType("MemberId", str)
PartitionId = NewType("PartitionId", str)
ServiceName = NewType("ServiceName", str)
ExecutorId = NewType("ExecutorId", str)
RequestId = NewType("RequestId", str)
WriteToken = NewType("WriteToken", str)
Epoch = NewType("Epoch", int)
Version = NewType("Version", int)
Attempt = NewType("Attempt", int)
