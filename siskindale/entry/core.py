"""Main function of `siskindale-entry`."""

from collections.abc import Sequence

from siskindale.context import Environment
from siskindale.entry.program import EntryService
from siskindale.exits import ExitStatus
from siskindale.models.settings import Settings
from siskindale.runtime import program
from siskindale.runtime.commands import create_program_app, invoke

PROGRAM = "siskindale-entry"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Runs the program; `args` excludes the program name."""
    env.program = PROGRAM
    return invoke(create_program_app(serve, "Callers' API of siskindale on this VM."), args, env)


def serve(settings: Settings, env: Environment) -> ExitStatus:
    """Serves callers until a stop signal arrives."""
    return program.run(program.ProgramKind.ENTRY, EntryService, settings, env)
