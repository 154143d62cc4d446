"""Checks which package may import which, and that no imports are circular.

Imports inside functions and under TYPE_CHECKING count as well: they only hide a circular import from the
interpreter.
"""

from __future__ import annotations

import ast
import pathlib
import unittest

ROOT = pathlib.Path(__file__).parent.parent
ALLOWED: dict[str, frozenset[str]] = {
    "model": frozenset(),
    "policy": frozenset({"model"}),
    "gateway": frozenset({"model", "policy"}),
    "simulator": frozenset({"model", "policy"}),
    "config": frozenset({"gateway", "model", "policy"}),
    "hosting": frozenset({"config", "gateway", "model"}),
    "testbed": frozenset({"config", "gateway", "model", "policy"}),
    "cli": frozenset({"config", "gateway", "hosting", "model", "testbed"}),
}
"""Packages that each package may import, besides its own modules and the modules directly in `drumgw`."""


def project_modules() -> dict[str, pathlib.Path]:
    """Returns the file of every module of the program, by dotted name."""
    modules = {}
    for path in (ROOT / "drumgw").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        modules[".".join(parts).removesuffix(".__init__")] = path
    return modules


def imported_names(path: pathlib.Path) -> set[str]:
    """Returns the dotted names that a module imports, of modules and of names from modules."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def import_graph() -> dict[str, set[str]]:
    """Returns for each module the modules of the program that it imports, without package roots."""
    modules = project_modules()
    packages = {name for name, path in modules.items() if path.name == "__init__.py"}
    graph = {}
    for name, path in modules.items():
        graph[name] = (imported_names(path) & modules.keys()) - packages - {name}
    return graph


def package_of(module: str) -> str:
    """Returns the subpackage of `drumgw` that contains a module; empty for a module directly in `drumgw`."""
    parts = module.split(".")
    return parts[1] if len(parts) > 2 else ""


class ImportsTest(unittest.TestCase):
    """The import statements of the program's source code."""

    def test_packages_import_only_allowed_packages(self) -> None:
        for module, imported in import_graph().items():
            package = package_of(module)
            if not package:
                continue
            used = {package_of(other) for other in imported} - {package, ""}
            self.assertLessEqual(used, ALLOWED[package], module)

    def test_no_imports_are_circular(self) -> None:
        remaining = import_graph()
        while leaves := {name for name, imported in remaining.items() if not imported & remaining.keys()}:
            remaining = {name: imported for name, imported in remaining.items() if name not in leaves}
        self.assertEqual(set(remaining), set(), "modules in import cycles, or importing such modules")

    def test_every_package_is_listed(self) -> None:
        self.assertEqual({package_of(name) for name in project_modules()} - {""}, set(ALLOWED))


if __name__ == "__main__":
    unittest.main()
