"""Check of the drivers that settings name."""

from collections.abc import Iterator

import siskindale.platform.http
import siskindale.targets.http  # noqa: F401 - registers the drivers
from siskindale.config.rules import SETTINGS_CHECKS, Problem
from siskindale.models.settings import Settings
from siskindale.platform.interface import PLATFORM_DRIVERS
from siskindale.targets.interface import TARGET_DRIVERS


@SETTINGS_CHECKS.register("drivers")
def check_drivers(settings: Settings) -> Iterator[Problem]:
    """An unknown driver would end the program at its start."""
    for path, name, drivers in (
        ("$.platform.driver", settings.platform.driver, PLATFORM_DRIVERS),
        ("$.pool.target_driver", settings.pool.target_driver, TARGET_DRIVERS),
        ("$.controller.target_driver", settings.controller.target_driver, TARGET_DRIVERS),
    ):
        try:
            drivers.get(name)
        except KeyError as error:
            yield Problem(path, error.args[0])
