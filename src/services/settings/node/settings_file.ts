/** Reads settings and secrets from files and the environment. */

import { readFileSync } from "node:fs";
import { StepError, toErrorMessage } from "../../../base/common/errors.ts";
import {
  attempt,
  type Either,
  Left,
  Right,
} from "../../../base/common/result.ts";
import {
  formatValidationErrors,
  parseAndValidateYaml,
} from "../common/yaml_validation.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
  type SecretSource,
} from "../common/daemon_settings.ts";

const MIN_SECRET_LENGTH = 16;

/**
 * Reads the settings of a daemon.
 *
 * @param path - Path of the YAML file.
 * @returns The settings, or an error that lists every mistake.
 */
export function readSettings(path: string): Either<StepError, DaemonSettings> {
  return readText(path, "settings.read").chain((text) =>
    parseAndValidateYaml<DaemonSettings>(text, daemonSettingsSchema).mapLeft(
      (errors) =>
        new StepError(
          `the settings have mistakes:\n${
            formatValidationErrors(path, errors)
          }`,
          { step: "settings.check", peer: path },
        ),
    )
  );
}

/**
 * Reads a secret. Its value is never part of an error.
 *
 * @param source - Where it stands.
 * @returns The secret without surrounding white space.
 */
export function readSecret(source: SecretSource): Either<StepError, string> {
  if ("file" in source) {
    return readText(source.file, "secret.read").chain((text) =>
      validateSecret(text, source.file)
    );
  }
  return validateSecret(process.env[source.env] ?? "", `env ${source.env}`);
}

function readText(path: string, step: string): Either<StepError, string> {
  return attempt(
    () => readFileSync(path, "utf8"),
    (thrown) =>
      new StepError(toErrorMessage(thrown), { step, peer: path }, thrown),
  );
}

function validateSecret(text: string, peer: string): Either<StepError, string> {
  const secret = text.trim();
  if (secret.length >= MIN_SECRET_LENGTH) return Right(secret);
  return Left(
    new StepError(
      `the secret must have at least ${MIN_SECRET_LENGTH} characters`,
      { step: "secret.check", peer },
    ),
  );
}
