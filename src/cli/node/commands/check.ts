/** `ragwort check`: validates a document or a settings file. */

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

/** Kind of the document in a file. */
type FileKind = "team" | "daemon";

interface CheckOptions extends GlobalOptions {
  readonly as?: string;
}

/** Registers the command. */
export const addCheckCommand: AddCommand = (cli, shell) => {
  cli.command(
    "check <file>",
    "Validate a team's document or a daemon's settings without applying it",
  )
    .option("--as <kind>", "team or daemon; detected if omitted")
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

/** Detects the kind by fields that exist only in the settings of a daemon. */
function detectFileKind(text: string): FileKind {
  return attempt((): FileKind => {
    const value: unknown = parse(text);
    const isDaemon = typeof value === "object" && value !== null &&
      ("listen" in value || "secrets" in value);
    return isDaemon ? "daemon" : "team";
  }, () => undefined).orDefault("team");
}
