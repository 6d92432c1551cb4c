"""Hooks that set up and tear down the resources of each scenario."""

from asyncio import Runner
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from behave.model import Scenario, Status
from behave.runner import Context
from tornado.httpclient import AsyncHTTPClient


def before_all(context: Context) -> None:
    """Use the curl client everywhere."""
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create an event loop and a temporary folder for the scenario."""
    context.runner = Runner()
    context.folder = Path(mkdtemp(prefix="jaylatch-test-"))
    context.cluster = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the scenario's processes; keep its logs if it failed."""
    if context.cluster is not None:
        context.cluster.stop()
    context.runner.close()
    if scenario.status in (Status.failed, Status.error):
        print(f"logs are in {context.folder}")
    else:
        rmtree(context.folder, ignore_errors=True)
