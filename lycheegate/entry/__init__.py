"""The entry daemon between callers, operators and workers."""

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
