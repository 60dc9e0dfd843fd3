"""The ``trefoilpitch`` program."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Mapping, Sequence
from typing import TextIO

from trefoilpitch.cli._client import HttpDaemonClient
from trefoilpitch.cli._commands import Command, find_command
from trefoilpitch.cli._context import Context
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError
from trefoilpitch.cli._help import help_text
from trefoilpitch.cli._output import Console
from trefoilpitch.cli._settings import (
    CliSettings,
    CommandLine,
    parse_command_line,
    read_settings,
)
from trefoilpitch.clock import SystemClock

_MS_PER_S = 1_000


def main(
    argv: Sequence[str],
    environment: Mapping[str, str],
    out: TextIO,
    err: TextIO,
) -> ExitStatus:
    """Runs one command.

    Args:
        argv: The command line with the program's name first.
        environment: The environment variables.
        out: Gets the results.
        err: Gets remarks and errors.
    """
    try:
        line = parse_command_line(argv)
        if line.wants_help:
            print(help_text(line.words), file=out)
            return ExitStatus.DONE
        command, arguments = find_command(line.words)
        _check_flags(command, line)
        settings = read_settings(line.given, environment)
        context = _create_context(settings, arguments, out, err)
        return command.run(context)
    except CommandError as error:
        print(f"trefoilpitch: {error.message}", file=err)
        print(error.advice, file=err)
        return error.status


def run() -> None:
    """Runs the command that the process's own arguments name."""
    try:
        status = main(sys.argv, os.environ, sys.stdout, sys.stderr)
    except BrokenPipeError:
        # The reader of a pipe went away; nothing is left to be told.
        sys.stdout = None
        status = ExitStatus.DONE
    sys.exit(int(status))


def _check_flags(command: Command, line: CommandLine) -> None:
    for name in line.given:
        if name not in command.flags:
            raise UsageError(
                f"{command.name} has no flag --{name}",
                f"See trefoilpitch {command.name} --help.",
            )


def _create_context(
    settings: CliSettings,
    arguments: tuple[str, ...],
    out: TextIO,
    err: TextIO,
) -> Context:
    return Context(
        settings=settings,
        arguments=arguments,
        console=Console(out, err, settings.is_json),
        admin=HttpDaemonClient(
            settings.admin_urls, settings.admin_token, settings.timeout_ms
        ),
        callers=HttpDaemonClient(settings.entry_urls, "", settings.timeout_ms),
        clock=SystemClock(),
        sleep=lambda duration_ms: time.sleep(duration_ms / _MS_PER_S),
    )
