"""Configuration files of a gateway: the resulting settings, and the errors reported for invalid files."""

from __future__ import annotations

import json

from drumgw.config.gateway_file import gateway_configuration, read_gateway_file
from drumgw.gateway.process_config import parse_config
from tests.command_line_harness import GATEWAY_FILE, CommandLineCase

GATEWAY_TOML = GATEWAY_FILE.read_text()


class GatewayFileTest(CommandLineCase):
    """`drumgw check` on valid and invalid files."""

    def error_lines(self, text: str) -> list[str]:
        """Returns the lines that `drumgw check` prints for an invalid file, without the file's path."""
        result = self.drumgw("check", self.write_file(text))
        self.assertEqual(result.exit_code, 2, result.output)
        return [line.split("file.toml: ", 1)[1] for line in result.output.splitlines()]

    def test_example_file_is_valid_and_converted_to_settings(self) -> None:
        result = self.drumgw("check", str(GATEWAY_FILE))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn(": valid: n0 at 127.0.0.1:8080", result.output)
        bounds = self.drumgw("check", str(GATEWAY_FILE), "--lost", "30").output
        self.assertIn("lost for 30 s: through 1 gateway(s) a customer sends at most 36 units", bounds)
        config = parse_config(gateway_configuration(read_gateway_file(str(GATEWAY_FILE))), {})
        objectives = [r.latency_objective_ms for r in config.settings.request_classes]
        self.assertEqual(objectives, [3000.0, 800.0])
        self.assertEqual(config.settings.plans[0].burst_units, 6.0)
        self.assertEqual(config.counter, ("127.0.0.1", 6400))
        shown = json.loads(self.drumgw("check", "--show", str(GATEWAY_FILE)).output)
        self.assertEqual(shown["settings"]["classes"][1]["idempotency"], "once")

    def test_all_errors_are_reported_at_once_with_their_paths(self) -> None:
        text = (
            GATEWAY_TOML.replace("expiry_ms = 2500", "expiri_ms = 2500")
            .replace('zone = "a"', 'zone = "q"', 1)
            .replace("units_per_s = 1", "units_per_s = nan")
            .replace('repeat = "once-only"', 'repeat = "twice"')
            .replace("[limits]", "[limits]\nsockets = 3\nunknown = 1")
        )
        output = "\n".join(self.error_lines(text + "\n[spare]\nx = 1\n"))
        for line in (
            "gateway: zone 'q' is not listed in zones",
            "limits.sockets: expected greater than or equal to 64, found 3",
            "limits.unknown: no such key; expected one of sockets, memory_mb, cores",
            "product[2].expiri_ms: no such key; did you mean 'expiry_ms'?",
            "product[2].expiry_ms: missing",
            "product[2].repeat: expected 'inquiry-like', 'referenced' or 'once-only', found 'twice'",
            "plan[1].units_per_s: expected a finite number, found nan",
            "spare: no such key",
        ):
            self.assertIn(line, output)

    def test_contradictions_and_unreadable_files_are_reported_in_one_line(self) -> None:
        same_names = GATEWAY_TOML.replace('name = "sold-copy"', 'name = "preview"')
        late_objective = GATEWAY_TOML.replace("sla_ms = 3000", "sla_ms = 99000")
        for text, line in (
            ("", "empty"),
            ("version = ", "not TOML"),
            ("version = 2", "version: expected 1, found 2"),
            ("x = 1", "version: expected 1, found None"),
            ("version = true", "expected 1, found True"),
            (same_names, "product: the name 'preview' is given twice"),
            (late_objective, "sla_ms 99000 exceeds expiry_ms"),
            (GATEWAY_TOML.replace('"127.0.0.1:8080"', '"8080"'), "gateway.listen: expected host:port"),
        ):
            errors = self.error_lines(text)
            self.assertTrue(len(errors) == 1 and line in errors[0], errors)
        self.assertIn("No such file", self.drumgw("check", str(self.folder / "none")).output)
