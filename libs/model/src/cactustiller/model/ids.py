"""Identifiers used throughout the workspace."""

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
