#!/usr/bin/env node
/** Entry point of `ragwortd`. */

// First, so that no signal ends the process while other modules load.
import { ownSignals } from "../../services/process/node/own_signals.ts";

import { cac } from "cac";
import type { StepError } from "../../base/common/errors.ts";
import { toErrorMessage } from "../../base/common/errors.ts";
import { type Either, Right } from "../../base/common/result.ts";
import type { SigningKey } from "../../features/generations/node/hmac_signer.ts";
import { enableLogLevels } from "../../services/log/node/debug_logger.ts";
import { handleLostOutput } from "../../services/log/node/result_output.ts";
import { releaseLostTerminalsAtExit } from "../../services/process/node/lost_terminals.ts";
import type { DaemonSettings } from "../../services/settings/common/daemon_settings.ts";
import {
  readSecret,
  readSettings,
} from "../../services/settings/node/settings_file.ts";
import { Daemon, type DaemonSecrets } from "./daemon.ts";

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILURE = 1;

function readSecrets(
  settings: DaemonSettings,
): Either<StepError, DaemonSecrets> {
  const { secrets } = settings;
  const signingKeysResult = secrets.signingKeys.reduce<
    Either<StepError, SigningKey[]>
  >(
    (collected, { id, source }) =>
      collected.chain((list) =>
        readSecret(source).map((secret) => [...list, { id, secret }])
      ),
    Right([]),
  );
  return signingKeysResult.chain((signingKeys) =>
    readSecret(secrets.peer).chain((peerSecret) =>
      readSecret(secrets.operator).map((operatorKey) => ({
        signingKeys,
        peerSecret,
        operatorKey,
      }))
    )
  );
}

async function runDaemon(settingsPath: string): Promise<void> {
  const startup = readSettings(settingsPath).chain((settings) =>
    readSecrets(settings).map((secrets) => ({ settings, secrets }))
  );
  if (startup.isLeft()) {
    process.stderr.write(`${startup.extract().message}\n`);
    process.exitCode = EXIT_INVALID_SETTINGS;
    return;
  }
  const { settings, secrets } = startup.unsafeCoerce();
  enableLogLevels(settings.log.levels);
  let daemon: Daemon | undefined = undefined;
  ownSignals.connect({
    // Until the start is complete, there is nothing to drain.
    stop: () => daemon ? void daemon.drainAndStop() : process.exit(),
    receive: (signal) => daemon?.ignoreSignal(signal),
  });
  daemon = await Daemon.start(settings, secrets);
  daemon.surviveUnexpectedErrors();
}

handleLostOutput("go-on");
releaseLostTerminalsAtExit();

const cli = cac("ragwortd");
cli.option("--settings <file>", "Settings file of the daemon, in YAML");
cli.help();
const { options } = cli.parse();
const path: unknown = options["settings"];
if (typeof path === "string") {
  runDaemon(path).catch((thrown: unknown) => {
    // What has started would keep the process alive.
    process.stderr.write(
      `${toErrorMessage(thrown)}\n`,
      () => process.exit(EXIT_FAILURE),
    );
  });
} else if (!options["help"]) {
  process.stderr.write(
    "no settings file given; use: ragwortd --settings FILE\n",
  );
  process.exitCode = EXIT_INVALID_SETTINGS;
}
