/** `ragwort check`. */

import { parse } from "yaml";
import { attempt } from "../../../base/common/result.ts";
import { parseTeamDocument } from "../../../features/configuration/common/team_document_parser.ts";
import {
  formatValidationErrors,
  parseAndValidateYaml,
} from "../../../services/settings/common/yaml_validation.ts";
import {
  type DaemonSettings,
  daemonSettingsSchema,
} from "../../../services/settings/common/daemon_settings.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "../cli_context.ts";
import { type AddCommand, type GlobalOptions, withFile } from "../shell.ts";

/** What a file holds. */
type FileKind = "team" | "daemon";

interface CheckOptions extends GlobalOptions {
  readonly as?: string;
}

/** Adds the command. */
export const addCheckCommand: AddCommand = (cli, shell) => {
  cli.command(
    "check <file>",
    "Check a team's document or a daemon's settings without using it",
  )
    .option("--as <kind>", "team or daemon; found out when left out")
    .example("ragwort check taranga.yaml")
    .example("ragwort check /etc/ragwortd.yaml --as daemon")
    .action((file: string, options: CheckOptions) =>
      shell.run(options, (context) =>
        withFile(
          context,
          file,
          (text) => checkFile(context, { file, text, kind: options.as }),
        ))
    );
};

function checkFile(
  context: CliContext,
  { file, text, kind = detectFileKind(text) }: {
    readonly file: string;
    readonly text: string;
    readonly kind: string | undefined;
  },
): ExitCode {
  if (kind !== "team" && kind !== "daemon") {
    context.printError("--as must be team or daemon");
    return EXIT_CODES.badInput;
  }
  const validated = kind === "daemon"
    ? parseAndValidateYaml<DaemonSettings>(text, daemonSettingsSchema)
      .map(() => undefined)
    : parseTeamDocument(text).map(() => undefined);
  return validated.caseOf<ExitCode>({
    Left: (errors) => {
      if (context.isJson) {
        context.print(
          JSON.stringify({ file, kind, isValid: false, mistakes: errors }),
        );
      }
      context.printError(formatValidationErrors(file, errors));
      return EXIT_CODES.badInput;
    },
    Right: () => {
      const result = { file, kind, isValid: true };
      printResult(context, result, `${file}: valid as ${kind}`);
      return EXIT_CODES.ok;
    },
  });
}

/** Only a daemon's settings say where it listens. */
function detectFileKind(text: string): FileKind {
  return attempt((): FileKind => {
    const value: unknown = parse(text);
    const isDaemon = typeof value === "object" && value !== null &&
      ("listen" in value || "secrets" in value);
    return isDaemon ? "daemon" : "team";
  }, () => undefined).orDefault("team");
}
