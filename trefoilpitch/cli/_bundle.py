"""The ``trefoilpitch bundle`` commands."""

from __future__ import annotations

import pathlib

from returns.result import Success

from trefoilpitch.administration import (
    BundleResponse,
    HistoryResponse,
    SignOffBody,
)
from trefoilpitch.bundle import (
    Bundle,
    Difference,
    DifferenceKind,
    decode_bundle,
    diff_bundles,
)
from trefoilpitch.cli._change import change_header, send_change
from trefoilpitch.cli._context import Context, fetch
from trefoilpitch.cli._exceptions import CommandError, ExitStatus
from trefoilpitch.cli._output import Table

_EMPTY_BUNDLE = Bundle(name="", version=0, failure_domains=())


def check(context: Context) -> ExitStatus:
    """Prints every fault of a bundle file."""
    path = context.arguments[0]
    decoded = decode_bundle(_read_text(path))
    if isinstance(decoded, Success):
        bundle = decoded.unwrap()
        context.console.show(f"{path}: {_bundle_title(bundle)} has no faults")
        context.console.record(faults=())
        return ExitStatus.DONE
    faults = decoded.failure().faults
    context.console.show(*(f"{path}: {fault}" for fault in faults))
    context.console.record(faults=faults)
    raise _faults_error(path, len(faults))


def diff(context: Context) -> ExitStatus:
    """Compares a bundle file with the bundle in force."""
    path = context.arguments[0]
    bundle = _read_bundle(path, _read_text(path))
    in_force = fetch(context, "/v1/bundle", BundleResponse)
    differences = diff_bundles(in_force.bundle or _EMPTY_BUNDLE, bundle)
    context.console.show(*_describe_differences(in_force, differences))
    context.console.record(revision=in_force.revision, differences=differences)
    return ExitStatus.DONE


def sign_off(context: Context) -> ExitStatus:
    """Shows the differences, then signs off a bundle file."""
    path = context.arguments[0]
    text = _read_text(path)
    bundle = _read_bundle(path, text)
    in_force = fetch(context, "/v1/bundle", BundleResponse)
    differences = diff_bundles(in_force.bundle or _EMPTY_BUNDLE, bundle)
    context.console.show(*_describe_differences(in_force, differences))
    context.console.record(differences=differences)
    header = change_header(context, shown_revision=in_force.revision)
    body = SignOffBody(bundle=text, **header.fields())
    summary = f"bundle {_bundle_title(bundle)} signed off"
    return send_change(context, body, summary)


def show(context: Context) -> ExitStatus:
    """Shows the bundle in force."""
    response = fetch(context, "/v1/bundle", BundleResponse)
    bundle = response.bundle
    if bundle is None:
        context.console.show("no bundle has been signed off")
    else:
        context.console.show(
            f"bundle {_bundle_title(bundle)}, revision {response.revision}",
            "",
            _model_table(bundle),
            "",
            _workspace_table(bundle),
        )
    context.console.record(revision=response.revision, bundle=bundle)
    return ExitStatus.DONE


def history(context: Context) -> ExitStatus:
    """Lists the accepted changes, the newest first."""
    response = fetch(context, "/v1/history", HistoryResponse)
    newest_first = tuple(reversed(response.changes))
    context.console.show(
        *(line.description for line in newest_first)
        if newest_first
        else ("no change has been accepted",)
    )
    context.console.record(changes=newest_first)
    return ExitStatus.DONE


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise CommandError(
            ExitStatus.USAGE,
            f"{path} cannot be read: {reason}",
            "Name a readable bundle file in TOML and UTF-8.",
        ) from error


def _read_bundle(path: str, text: str) -> Bundle:
    decoded = decode_bundle(text)
    if isinstance(decoded, Success):
        bundle: Bundle = decoded.unwrap()
        return bundle
    faults = decoded.failure().faults
    error = _faults_error(path, len(faults))
    lines = (f"{path}: {fault}" for fault in faults)
    message = "\n".join((error.message, *lines))
    raise CommandError(error.status, message, error.advice)


def _faults_error(path: str, count: int) -> CommandError:
    faults = "1 fault" if count == 1 else f"{count} faults"
    return CommandError(
        ExitStatus.REFUSED,
        f"{path} has {faults}",
        "Correct the file; docs/CONFIGURATION.md explains every key.",
    )


def _bundle_title(bundle: Bundle) -> str:
    return f"{bundle.name} {bundle.version}"


def _describe_differences(
    in_force: BundleResponse, differences: tuple[Difference, ...]
) -> tuple[str, ...]:
    if in_force.bundle is None:
        headline = "no bundle is in force; everything is new"
    else:
        title = _bundle_title(in_force.bundle)
        headline = f"in force: {title}, revision {in_force.revision}"
    if not differences:
        return (headline, "no differences")
    return (headline, *(_describe_difference(each) for each in differences))


def _describe_difference(difference: Difference) -> str:
    return f"{_MARKS[difference.kind]} {difference}"


_MARKS = {
    DifferenceKind.ADDED: "+",
    DifferenceKind.REMOVED: "-",
    DifferenceKind.CHANGED: "~",
}


def _model_table(bundle: Bundle) -> Table:
    return Table(
        headings=("MODEL", "VERSIONS", "DEFAULT"),
        rows=tuple(
            (
                model.name,
                " ".join(version.name for version in model.versions),
                model.default_version,
            )
            for model in bundle.models
        ),
        empty="no models",
    )


def _workspace_table(bundle: Bundle) -> Table:
    return Table(
        headings=("WORKSPACE", "ALLOWED", "TASKS", "SERVICES", "WEIGHT"),
        rows=tuple(
            (
                workspace.name,
                " ".join(workspace.allowed),
                " ".join(workspace.tasks),
                " ".join(workspace.services),
                str(workspace.weight),
            )
            for workspace in bundle.workspaces
        ),
        empty="no workspaces",
    )
