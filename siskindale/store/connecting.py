"""Selection of the platform driver that the settings name."""

import importlib
from importlib.util import find_spec

from returns.result import Failure, Result, Success

from siskindale.models.settings import PlatformSettings
from siskindale.store.interface import PLATFORM_DRIVERS, Platform

PACKAGE = "siskindale.store"


def connect(settings: PlatformSettings) -> Result[Platform, str]:
    """Returns the platform of the settings; fails with the known drivers for an unknown one.

    The module of a driver has its name and registers it when it is imported.
    """
    name = settings.driver
    module = f"{PACKAGE}.{name}"
    if name not in PLATFORM_DRIVERS.names and name.isidentifier() and find_spec(module):
        importlib.import_module(module)
    try:
        return Success(PLATFORM_DRIVERS.get(name)(settings))
    except KeyError as error:
        return Failure(str(error.args[0]))
