"""Which package may import which; a module never imports one that imports it.

Imports inside functions and under TYPE_CHECKING count as well: they only hide a circle from the interpreter.
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
"""Packages that each package may import, besides its own modules and those of `drumgw` itself."""


def project_modules() -> dict[str, pathlib.Path]:
    """Every module of the program by its dotted name."""
    modules = {}
    for path in (ROOT / "drumgw").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        modules[".".join(parts).removesuffix(".__init__")] = path
    return modules


def imported_names(path: pathlib.Path) -> set[str]:
    """Dotted names that a module's import statements mention."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def import_graph() -> dict[str, set[str]]:
    """The project's modules that each of them imports."""
    modules = project_modules()
    packages = {name for name, path in modules.items() if path.name == "__init__.py"}
    graph = {}
    for name, path in modules.items():
        graph[name] = (imported_names(path) & modules.keys()) - packages - {name}
    return graph


def package_of(module: str) -> str:
    """The package below `drumgw` that a module stands in; empty for a module of `drumgw` itself."""
    parts = module.split(".")
    return parts[1] if len(parts) > 2 else ""


class Imports(unittest.TestCase):
    """The import statements of the program, as written."""

    def test_packages_import_only_what_they_may(self) -> None:
        for module, imported in import_graph().items():
            package = package_of(module)
            if not package:
                continue
            used = {package_of(other) for other in imported} - {package, ""}
            self.assertLessEqual(used, ALLOWED[package], module)

    def test_no_module_imports_one_that_imports_it(self) -> None:
        remaining = import_graph()
        while leaves := {name for name, imported in remaining.items() if not imported & remaining.keys()}:
            remaining = {name: imported for name, imported in remaining.items() if name not in leaves}
        self.assertEqual(set(remaining), set(), "these import each other, or something that does")

    def test_every_package_has_its_row(self) -> None:
        self.assertEqual({package_of(name) for name in project_modules()} - {""}, set(ALLOWED))


if __name__ == "__main__":
    unittest.main()
