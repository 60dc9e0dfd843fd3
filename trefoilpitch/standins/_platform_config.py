"""The configuration document that the platform's operator writes."""

from __future__ import annotations

from typing import Any


def config_document(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a document with a route of each kind and one workspace.

    Args:
        version: Version of the document.
        **fields: Top-level fields to add or replace.
    """
    routes = [
        _route("plain", "/plain/", "plain-service", kind="idempotent"),
        _route("once", "/once/", "plain-service", kind="non_idempotent"),
        _route(
            "stream",
            "/stream/",
            "model-service",
            kind="stream",
            **{
                "resumable": True,
                "target-gap-ms": 2_000,
                "model-tiers": ["small", "large"],
                "max-attempts": 3,
            },
        ),
    ]
    services = [
        _service("plain-service"),
        _service("model-service")
        | {
            "engine": {
                "models": [
                    {"name": "small", "cost": 0.02},
                    {"name": "large", "cost": 0.2},
                ]
            }
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 4_096,
            "max-body-bytes": 10_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "workspace-a", "api-keys": ["key-a"]}],
        **fields,
    }


def _route(
    name: str, prefix: str, service: str, **fields: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": "api.example",
        "path-prefix": prefix,
        "timeout-ms": 8_000,
        "target-latency-ms": 4_000,
        "service": service,
        "max-attempts": 2,
        **fields,
    }


def _service(name: str) -> dict[str, Any]:
    return {"name": name, "cold-start-s": 0.0, "cold-per-s": 0.0}
