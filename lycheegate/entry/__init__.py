"""The entry daemon, which serves callers and operators and schedules requests on workers."""

__all__ = [
    "admission",
    "answers",
    "callers",
    "control",
    "daemon",
    "drain",
    "execution",
    "following",
    "operating",
    "operators",
    "owner",
    "partitions",
    "records",
    "replies",
    "routing",
    "rows",
    "server",
    "services",
    "wiring",
]
