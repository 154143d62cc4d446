"""The command line: help, imports, `drumgw serve`, and `drumgw lab` on a virtual clock."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys

from drumgw.testbed.scenario import read_scenario
from tests.command_line_harness import EXAMPLES, GATEWAY_FILE, CommandLineCase
from tests.scenarios import DEFAULT_VALUES, SCENARIO_TEMPLATE


class CommandTest(CommandLineCase):
    """Help texts, imports and `drumgw serve`."""

    def test_each_command_has_a_help_text(self) -> None:
        for command in ((), ("serve",), ("check",), ("lab",), ("lab", "run"), ("lab", "report")):
            result = self.drumgw(*command, "--help")
            self.assertEqual((result.exit_code, "Usage:" in result.output), (0, True))
        self.assertIn("130 stopped by a signal", re.sub(r"\s+", " ", self.drumgw("--help").output))
        self.assertIn("version", self.drumgw("--version").output)
        self.assertEqual(self.drumgw("lab", "run").exit_code, 2)

    def test_gateway_process_imports_no_libraries_of_the_tools(self) -> None:
        """Importing a library of the tools in the gateway would make each start slower and use more memory.

        `python -m drumgw` must load neither the schema library nor the command line nor the testbed.
        """
        script = (
            "import sys; from drumgw import __main__; print([m for m in sys.modules if m.split('.')[0] in "
            "('click', 'pydantic', 'hdrh', 'matplotlib') or m.startswith(('drumgw.testbed', 'drumgw.config', "
            "'drumgw.cli'))])"
        )
        result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
        self.assertEqual(result.stdout.strip(), "[]")

    def test_serve_logs_json_rejects_an_invalid_reload_and_exits_with_0(self) -> None:
        """SIGHUP with an error in the file is logged, and the gateway keeps its configuration."""
        text = re.sub(r'listen = ".*"', 'listen = "127.0.0.1:0"', GATEWAY_FILE.read_text())
        path = self.write_file(text)
        process = subprocess.Popen(
            [sys.executable, "-m", "drumgw.cli", "serve", path, "--json-logs"],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        assert process.stderr
        message = ""
        while " serves at " not in message:
            message = json.loads(process.stderr.readline())["record"]["message"]
        self.write_file(text.replace("version = 1", "version = 9"))
        process.send_signal(signal.SIGHUP)
        while "SIGHUP" not in message:
            message = json.loads(process.stderr.readline())["record"]["message"]
        self.assertRegex(message, "version: expected 1, found 9; keeping the previous configuration")
        process.terminate()
        process.stderr.read()
        process.stderr.close()
        self.assertEqual(process.wait(), 0)


class LabCommandTest(CommandLineCase):
    """`drumgw lab` on a virtual clock."""

    def error_output(self, text: str) -> str:
        """Returns what `drumgw lab run` prints for an invalid scenario; checks that no run was started."""
        result = self.drumgw("lab", "run", self.write_file(text), "--out", str(self.folder / "out"))
        self.assertEqual((result.exit_code, (self.folder / "out").exists()), (2, False), result.output)
        return result.output

    def test_invalid_scenario_is_rejected_before_anything_starts(self) -> None:
        text = SCENARIO_TEMPLATE.format(**DEFAULT_VALUES)
        fault = '\n[[trouble]]\nkind = "{}"\nat_s = 1\n{}\n'
        for invalid, line in (
            ("", "empty"),
            (text[: len(text) // 2], "file.toml: "),
            (text + "[fleet]\n", "not TOML"),
            (text + fault.format("slow", "for_s = 1"), "needs one of part, zone and worker"),
            (text + fault.format("slow", "part = 1\nfor_s = 1"), "'slow' needs size"),
            (text + fault.format("silent", "part = 1"), "'silent' needs for_s"),
            (text + fault.format("zone lost", 'zone = "q"\nfor_s = 1'), "no such zone 'q'"),
            (text + fault.format("crash", "worker = 6\nfor_s = 1"), "numbered 0 to 5"),
            (text + fault.format("unknown", ""), "trouble[1].kind: expected"),
            (text + fault.format("kill", "part = 1").replace("at_s = 1", "at_s = 9"), "after the scenario's"),
            (text.replace("number = 20", "number = 900000\nuse = 2"), "more than 2000000"),
            (text.replace('plan = "flagship"', 'plan = "gold"'), "no such plan 'gold'"),
        ):
            self.assertIn(line, self.error_output(invalid))

    def test_runs_are_reported_compared_and_plotted(self) -> None:
        path = self.write_file(SCENARIO_TEMPLATE.format(**DEFAULT_VALUES))
        for seed in ("1", "2"):
            out = str(self.folder / seed)
            result = self.drumgw("lab", "run", path, "--virtual", "--seed", seed, "--out", out)
            self.assertEqual((result.exit_code, "rules kept" in result.output), (0, True), result.output)
        runs = [str(self.folder / seed) for seed in ("1", "2")]
        both = self.drumgw("lab", "report", *runs, "--plots", str(self.folder / "plots"))
        self.assertRegex(both.output, r"2 run\(s\), seed 1, 2\n(.|\n)*±(.|\n)*rules kept")
        plots = sorted(path.name for path in (self.folder / "plots").iterdir())
        self.assertEqual(plots, ["load.svg", "over-time.svg"])
        self.assertIn(b"<svg", (self.folder / "plots" / "load.svg").read_bytes())
        compared = self.drumgw("lab", "report", runs[0], "--against", runs[1])
        self.assertRegex(compared.output, r"whole, served +0\.\d+ +0\.\d+ +[+-]")
        figures = json.loads(self.drumgw("lab", "report", *runs, "--json").output)
        self.assertEqual([run["seed"] for run in figures], [1, 2])
        self.assertEqual(figures[0], json.loads((self.folder / "1" / "figures.json").read_text()))

    def test_rule_violations_and_incomplete_event_logs_have_exit_code_1(self) -> None:
        """An event log without its end, or without a response, must not be reported as a valid run."""
        path = self.write_file(SCENARIO_TEMPLATE.format(**DEFAULT_VALUES))
        out = self.folder / "out"
        event_log = out / "record.jsonl"
        self.drumgw("lab", "run", path, "--virtual", "--out", str(out))
        rows = event_log.read_text().splitlines(keepends=True)
        event_log.write_text("".join(row for row in rows if '"what":"ends"' not in row))
        output = self.drumgw("lab", "report", str(out)).output
        self.assertIn("INVALID (seed 1): the event log has no end", output)
        answered = next(position for position, row in enumerate(rows) if '"what":"answered"' in row)
        event_log.write_text("".join(rows[:answered] + rows[answered + 1 :]))
        result = self.drumgw("lab", "report", str(out))
        self.assertEqual(result.exit_code, 1)
        self.assertRegex(result.output, r"BROKEN \(seed 1\): lost at .*still open when the run ended")
        event_log.write_text("{}\n")
        self.assertEqual(self.drumgw("lab", "report", str(out)).exit_code, 2)

    def test_example_scenarios_are_valid(self) -> None:
        names = {read_scenario(str(path)).name for path in (EXAMPLES / "days").glob("*.toml")}
        self.assertEqual(names, {"calm", "herd-200", "lost-200", "replaced-200", "swapped", "troubled"})
