"""The JSON schema of operators' configurations, with its limits and defaults.

The field names are those of configuration files, stored chunks and messages: "ways" are routes,
"spill" is the relocation of a call to a peer, "tries" are retries, and "repeat" states whether the
calls of a route are idempotent ("safe") or must run at most once ("once"). "share" is the weight of
a relocated call in the load of the node that relocated it.
"""

from __future__ import annotations

from typing import Any

ConfigurationMap = dict[str, Any]  # a configuration with these field names, as parsed from JSON

MAX_CONFIGURATION_BYTES = 16 << 20
# Below 4 s: a stopping process is killed after about 6 s, and must complete its calls before.
MAX_TOTAL_WAIT_US = 3_900_000
ANONYMOUS_CALLER = "guest"  # the caller name of requests without a token
STAGES = ("arrival", "spill", "endpoint")  # of a budget, in the order of a call

NAME_SCHEMA: dict[str, Any] = {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,63}$"}
STAGE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["wait_us", "tries"],
    "properties": {
        "wait_us": {"type": "integer", "minimum": 0, "maximum": MAX_TOTAL_WAIT_US},
        "tries": {"type": "integer", "minimum": 0, "maximum": 3},
    },
}
CONFIGURATION_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["services", "ways", "budgets"],
    "properties": {
        "services": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name"],
                "properties": {
                    "name": NAME_SCHEMA,
                    "identity": {"type": "boolean"},
                    "echo": {"type": "boolean"},
                    "record": {"type": "boolean"},
                    "body_max": {"type": "integer", "minimum": 1, "maximum": 4194304},
                },
            },
        },
        "budgets": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "arrival", "spill", "endpoint"],
                "properties": {
                    "name": NAME_SCHEMA,
                    "arrival": STAGE_SCHEMA,
                    "spill": STAGE_SCHEMA,
                    "endpoint": STAGE_SCHEMA,
                },
            },
        },
        "ways": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "callers", "service", "methods", "path", "repeat", "budget"],
                "properties": {
                    "name": NAME_SCHEMA,
                    "callers": {
                        "type": "array",
                        "minItems": 1,
                        "uniqueItems": True,
                        "items": NAME_SCHEMA,
                    },
                    "service": NAME_SCHEMA,
                    "methods": {
                        "type": "array",
                        "minItems": 1,
                        "uniqueItems": True,
                        "items": {"enum": ["GET", "POST", "PUT", "PATCH", "DELETE"]},
                    },
                    "path": {
                        "type": "string",
                        "pattern": "^(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+$",
                        "maxLength": 512,
                    },
                    "repeat": {"enum": ["safe", "once"]},
                    "budget": NAME_SCHEMA,
                },
            },
        },
        "load": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "interval_us": {"type": "integer", "minimum": 50000, "maximum": 10000000},
                "omega": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
                "phi": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
                "share": {"type": "number", "minimum": 0, "maximum": 1},
                "stale_us": {"type": "integer", "minimum": 100000, "maximum": 60000000},
            },
        },
    },
}
DEFAULT_LOAD: dict[str, Any] = {
    "interval_us": 500_000,
    "omega": 0.95,
    "phi": 0.8,
    "share": 0.05,
    "stale_us": 2_000_000,
}
# Defaults of the optional fields of a service.
DEFAULT_SERVICE: dict[str, Any] = {
    "identity": False,
    "echo": False,
    "record": False,
    "body_max": 262_144,
}
