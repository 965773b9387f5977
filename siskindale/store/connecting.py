"""Selects the platform driver that the settings name."""

import importlib
from importlib.util import find_spec

from returns.result import Failure, Result, Success

from siskindale.models.settings import PlatformSettings
from siskindale.store.interface import PLATFORM_DRIVERS, Platform

DRIVER_PACKAGE = "siskindale.store"


def connect(settings: PlatformSettings) -> Result[Platform, str]:
    """Returns the platform; for an unknown driver, fails with a list of the known ones.

    A driver's module in this package has the name of the driver and registers it on import.
    """
    name = settings.driver
    module_name = f"{DRIVER_PACKAGE}.{name}"
    if name not in PLATFORM_DRIVERS.names and name.isidentifier() and find_spec(module_name):
        importlib.import_module(module_name)
    try:
        return Success(PLATFORM_DRIVERS.get(name)(settings))
    except KeyError as error:
        return Failure(str(error.args[0]))
