"""Model services of the configuration, their servers, and a client of their streams."""

import asyncio
from typing import Any

from engine_standin import Engine
from platform_standin import KEY, Platform, Record, call, document, free_ports, route

DEADLINE_MS = 8000
REQUEST_INTERVAL = 0.1
"""Seconds between two requests."""


def model(name: str, size: int) -> dict[str, Any]:
    """Return a model of the configuration."""
    return {"name": name, "size": size, "share": 1.0, "pace": 1.0, "loadS": 0.5, "warmS": 0.2}


def stream_route(name: str, service: str) -> dict[str, Any]:
    """Return a route of streams that may be resumed."""
    return route(
        name,
        "streaming",
        service,
        sticky=True,
        resumable=True,
        itlTargetMs=300,
        goalMs=300,
        timeoutMs=DEADLINE_MS,
    )


def model_document(
    version: int, routes: list[dict[str, Any]], models: dict[str, list[dict[str, Any]]]
) -> dict[str, Any]:
    """Return a configuration in which the services named in ``models`` have these models."""
    content = document(version, routes)
    for service in content["services"]:
        if service["name"] in models:
            service["engine"] = {
                "slots": 24,
                "stride": 6,
                "models": models[service["name"]],
                "step_ms": 5.95,
                "per_seq_ms": 0.089,
                "read_per_s": 50700.0,
                "loadsPerS": 3.0,
                "loads_at_once": 6,
                "far_x": 2.5,
                "formMs": 50.0,
            }
    return content


async def start_engines(
    platform: Platform, record: Record, service: str, models: list[str], count: int
) -> list[Engine]:
    """Start the model servers of a service, which run ``models`` only (empty: any model)."""
    engines = []
    for number in range(count):
        ip = platform.address(10)
        address = f"{ip}:{free_ports(ip, 1)[0]}"
        engine = Engine(record, f"{service}-{number}", service, address, platform.controls())
        engine.models = models
        await engine.start()
        engines.append(engine)
    return engines


async def ask_stream(platform: Platform, record: Record, path: str, name: str, of: str) -> int:
    """Send one request of the model ``of``; return the status of its answer."""
    fields = {
        "Attempt-Id": name,
        "Model": of,
        "Token-Usage": "100,60",
        "Prefix-Hash": "5c1e07a2:40,91bd3f06:60",
        "Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Bearer {KEY}",
    }
    answer = await call(platform.front(), "POST", path, b"prompt", fields, DEADLINE_MS / 1000)
    reason = answer.body[:60] if answer.status != 200 else ""
    record.write(f"client: {name} answered {answer.status} {reason} {answer.error}")
    return answer.status


async def ask_streams(
    platform: Platform, record: Record, path: str, prefix: str, of: str, count: int
) -> list[int]:
    """Send requests at a steady rate; return the statuses of their answers."""
    tasks = []
    for number in range(count):
        name = f"{prefix}-{number}"
        tasks.append(asyncio.create_task(ask_stream(platform, record, path, name, of)))
        await asyncio.sleep(REQUEST_INTERVAL)
    return list(await asyncio.gather(*tasks))


async def ask_orders(platform: Platform, record: Record, prefix: str, count: int) -> list[int]:
    """Send orders at a steady rate; return the statuses of their answers."""

    async def ask(number: int) -> int:
        fields = {
            "Attempt-Id": f"{prefix}-{number}",
            "Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        }
        answer = await call(platform.front(), "POST", "/order/1", b"order", fields, 2.5)
        record.write(f"client: {prefix}-{number} answered {answer.status} {answer.error}")
        return answer.status

    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(REQUEST_INTERVAL)
    return list(await asyncio.gather(*tasks))
