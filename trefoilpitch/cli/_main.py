"""The entry point of the ``trefoilpitch`` program."""

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

# Takes the base URLs, the bearer token and the request timeout in ms.
ClientFactory: TypeAlias = Callable[[Sequence[str], str, int], DaemonClient]


def _sleep(duration_ms: int) -> None:
    time.sleep(duration_ms / _MS_PER_S)


def main(
    argv: Sequence[str],
    environment: Mapping[str, str],
    out: TextIO,
    err: TextIO,
    *,
    create_client: ClientFactory = http_daemon_client,
    clock: Clock | None = None,
    sleep: Callable[[int], None] = _sleep,
) -> ExitStatus:
    """Runs one command.

    Args:
        argv: The command line, starting with the program's name.
        environment: The environment variables.
        out: The stream for results.
        err: The stream for notices and errors.
        create_client: Creates the clients of the daemons.
        clock: The system clock if None.
        sleep: Sleeps for a number of milliseconds.
    """
    try:
        command_line = parse_command_line(argv)
        if command_line.wants_help:
            print(help_text(command_line.words), file=out)
            return ExitStatus.DONE
        command, arguments = find_command(command_line.words)
        _check_flags(command, command_line)
        settings = read_settings(
            command_line.given_flags, environment, command.flags
        )
    except CommandError as error:
        return _print_error(error, err)
    console = Console(out, err, settings.is_json)
    context = Context(
        settings=settings,
        arguments=arguments,
        console=console,
        admin_api=create_client(
            settings.admin_urls, settings.admin_token, settings.timeout_ms
        ),
        caller_api=create_client(settings.entry_urls, "", settings.timeout_ms),
        clock=clock or SystemClock(),
        sleep=sleep,
    )
    return _run_command(command, context, err)


def run() -> None:
    """Runs the command line of this process and exits."""
    try:
        status = main(sys.argv, os.environ, sys.stdout, sys.stderr)
    except BrokenPipeError:
        # Prevents a second BrokenPipeError when the interpreter flushes
        # standard output on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = ExitStatus.FAILED
    except KeyboardInterrupt:
        status = ExitStatus.INTERRUPTED
    sys.exit(int(status))


def _run_command(command: Command, context: Context, err: TextIO) -> ExitStatus:
    try:
        status = command.run(context)
    except CommandError as error:
        status = _print_error(error, err)
        context.console.record(
            error={
                "kind": error.status.name.lower(),
                "message": error.message,
                "advice": error.advice,
            }
        )
    context.console.finish()
    return status


def _print_error(error: CommandError, err: TextIO) -> ExitStatus:
    print(f"trefoilpitch: {printable(error.message)}", file=err)
    print(error.advice, file=err)
    return error.status


def _check_flags(command: Command, command_line: CommandLine) -> None:
    for name in command_line.given_flags:
        if name not in command.flags:
            raise UsageError(
                f"{command.name} has no flag --{name}",
                f"See trefoilpitch {command.name} --help.",
            )
