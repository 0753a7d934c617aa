from __future__ import annotations

import pathlib

import testtools

from celerystack import run, settings
from celerystack.commands import job
from celerystack.config import loader, schema

ROOT = pathlib.Path(__file__).parents[1]


def _table_cells(page: str) -> set[str]:
    """Return the first cell of every table row, without backquotes."""
    lines = (ROOT / "docs" / page).read_text().splitlines()
    return {line.split("|")[1].strip().strip("`") for line in lines if line.startswith("|")}


class DocumentationTest(testtools.TestCase):
    def test_every_configuration_field_is_documented(self) -> None:
        """Guards against configuration fields that the documentation omits."""
        cells = _table_cells("configuration.md")
        for kind, table in schema.SCHEMAS_BY_KIND.items():
            self.assertEqual(set(), set(table.fields) - cells, kind)

    def test_every_setting_exit_code_and_subcommand_is_documented(self) -> None:
        """Guards against settings, exit codes and subcommands that the documentation omits."""
        cells = _table_cells("cli.md")
        self.assertEqual(set(), set(settings.FIELDS_BY_NAME) - cells)
        self.assertEqual(set(), {str(int(code)) for code in job.ExitCode} - cells)
        documented = {cell.split()[0] for cell in cells if cell}
        self.assertEqual(set(), set(run.SUBCOMMANDS) - documented)

    def test_examples_are_valid(self) -> None:
        """Guards against examples that `check` rejects."""
        text_by_file = loader.read_folder(ROOT / "examples")
        configuration, found = loader.examine(text_by_file)
        self.assertEqual([], found)
        self.assertEqual(6, len(configuration.services_by_name))
        self.assertEqual(0.5, configuration.servers_by_id["ab-02"].weight)
