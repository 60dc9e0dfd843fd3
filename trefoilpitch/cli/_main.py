"""The ``trefoilpitch`` program."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import TextIO, TypeAlias

from trefoilpitch.cli._client import DaemonClient, http_daemon_client
from trefoilpitch.cli._commands import Command, find_command
from trefoilpitch.cli._context import Context
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError
from trefoilpitch.cli._flags import CommandLine, parse_command_line
from trefoilpitch.cli._help import help_text
from trefoilpitch.cli._output import Console, printable
from trefoilpitch.cli._settings import read_settings
from trefoilpitch.clock import Clock, SystemClock

_MS_PER_S = 1_000

# Takes URLs, the bearer token and the time for one request.
Connect: TypeAlias = Callable[[Sequence[str], str, int], DaemonClient]


def _sleep(duration_ms: int) -> None:
    time.sleep(duration_ms / _MS_PER_S)


def main(
    argv: Sequence[str],
    environment: Mapping[str, str],
    out: TextIO,
    err: TextIO,
    *,
    connect: Connect = http_daemon_client,
    clock: Clock | None = None,
    sleep: Callable[[int], None] = _sleep,
) -> ExitStatus:
    """Runs one command.

    Args:
        argv: The command line with the program's name first.
        environment: The environment variables.
        out: Gets the results.
        err: Gets remarks and errors.
        connect: Creates the clients of the daemons.
        clock: Tells the time; the machine's where none is given.
        sleep: Waits for a number of milliseconds.
    """
    try:
        line = parse_command_line(argv)
        if line.wants_help:
            print(help_text(line.words), file=out)
            return ExitStatus.DONE
        command, arguments = find_command(line.words)
        _check_flags(command, line)
        settings = read_settings(line.given, environment, command.flags)
    except CommandError as error:
        return _report(error, err)
    console = Console(out, err, settings.is_json)
    context = Context(
        settings=settings,
        arguments=arguments,
        console=console,
        admin=connect(
            settings.admin_urls, settings.admin_token, settings.timeout_ms
        ),
        callers=connect(settings.entry_urls, "", settings.timeout_ms),
        clock=clock or SystemClock(),
        sleep=sleep,
    )
    return _run(command, context, err)


def run() -> None:
    """Runs the command that the process's own arguments name."""
    try:
        status = main(sys.argv, os.environ, sys.stdout, sys.stderr)
    except BrokenPipeError:
        # Keeps the interpreter from flushing into the closed pipe again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.FAILED
    except KeyboardInterrupt:
        status = ExitStatus.INTERRUPTED
    sys.exit(int(status))


def _run(command: Command, context: Context, err: TextIO) -> ExitStatus:
    try:
        status = command.run(context)
    except CommandError as error:
        status = _report(error, err)
        context.console.record(
            error={
                "kind": error.status.name.lower(),
                "message": error.message,
                "advice": error.advice,
            }
        )
    context.console.finish()
    return status


def _report(error: CommandError, err: TextIO) -> ExitStatus:
    print(f"trefoilpitch: {printable(error.message)}", file=err)
    print(error.advice, file=err)
    return error.status


def _check_flags(command: Command, line: CommandLine) -> None:
    for name in line.given:
        if name not in command.flags:
            raise UsageError(
                f"{command.name} has no flag --{name}",
                f"See trefoilpitch {command.name} --help.",
            )
