"""Guards against stand-ins of review/ that fill in the settings template only
in part: nodes refuse such settings, so that none of their cases can run.

The nodes are not started; what the stand-ins write for them is checked by
`parsleytrack settings check`.

Usage: settings_test.py PATH_OF_PARSLEYTRACK
"""

import asyncio
import importlib
import pathlib
import shutil
import subprocess
import sys
import types
import unittest
from unittest import mock

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_ADDRESS = ("127.0.0.1", 1)


def import_stand_ins(folder, module):
    """Imports a module of review/ without leaving compiled files there."""
    sys.dont_write_bytecode = True
    sys.path.insert(0, str(ROOT / "review" / folder))
    return importlib.import_module(module)


class SettingsTest(unittest.TestCase):
    program = None

    def check_settings(self, fleet, nodes):
        """Checks what the stand-ins have written for their nodes."""
        self.addCleanup(shutil.rmtree, fleet.folder)
        files = [path for path in pathlib.Path(fleet.folder).iterdir()
                 if path.suffix != ".log"]
        self.assertEqual(nodes, len(files))
        for path in sorted(files):
            outcome = subprocess.run(
                [self.program, "settings", "check", "--relay", path],
                capture_output=True, text=True, check=False)
            self.assertEqual(0, outcome.returncode,
                             outcome.stdout + outcome.stderr)

    def test_cases_1_to_5(self):
        stand_ins = import_stand_ins("common", "standins")
        fleet = stand_ins.Fleet(
            types.SimpleNamespace(address=STORE_ADDRESS), record=None)
        with mock.patch("subprocess.Popen"):
            for machine in fleet.machines:
                fleet.start(machine)
        self.check_settings(fleet, len(fleet.machines))

    def test_cases_6_to_10(self):
        stand_ins = import_stand_ins("support-2", "world")
        # The stand-ins ask for the deploy build, which is not used here.
        with mock.patch.object(stand_ins, "PROGRAM", self.program):
            fleet = stand_ins.Fleet(
                types.SimpleNamespace(address=STORE_ADDRESS), record=None)
        nodes = fleet.edges + fleet.storages

        async def start():
            for node in nodes:
                await fleet.start_node(node)
        with mock.patch("asyncio.create_subprocess_exec"):
            asyncio.run(start())
        self.check_settings(fleet, len(nodes))

    def test_cases_11_to_15(self):
        stand_ins = import_stand_ins("support-3", "fleet")
        fleet = stand_ins.Fleet(mock.Mock())
        with mock.patch("subprocess.Popen"), \
                mock.patch.object(fleet.store, "listen",
                                  mock.AsyncMock(return_value=STORE_ADDRESS)), \
                mock.patch.object(fleet, "wait_ready", mock.AsyncMock()):
            asyncio.run(fleet.start())
        self.check_settings(fleet, fleet.count)


if __name__ == "__main__":
    SettingsTest.program = sys.argv.pop(1)
    unittest.main()
