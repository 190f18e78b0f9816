/** `ragwort config` and `ragwort check`. */

import type { TeamName } from "../../base/common/ids.ts";
import { leftOf, rightOf } from "../../base/common/result.ts";
import { assertNever } from "../../base/common/errors.ts";
import { TEAM_KEY_PREFIX } from "../../features/configuration/common/configuration.ts";
import { parseTeamDocument } from "../../features/configuration/common/team_document_parser.ts";
import {
  type ChangeFailure,
  documentText,
  isDeletionMark,
  writeChange,
} from "../../features/configuration/common/configuration_writer.ts";
import { formatMistakes } from "../../platform/settings/common/checked_yaml.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";

/** Prints a team's document. */
export async function getConfig(
  context: CliContext,
  team: TeamName,
): Promise<ExitCode> {
  const read = await context.store.get(TEAM_KEY_PREFIX + team);
  const failure = leftOf(read);
  if (failure) {
    context.printError(
      `the store gave no answer (${failure.detail}); try again`,
    );
    return EXIT_CODES.unreachable;
  }
  const entry = rightOf(read);
  if (!entry || isDeletionMark(entry.value)) {
    context.printError(
      `team ${team} has no document; make one with: ragwort config apply`,
    );
    return EXIT_CODES.failed;
  }
  const text = documentText(entry.value);
  printResult(context, { team, revision: entry.revision, text }, text);
  return EXIT_CODES.ok;
}

/** What `config apply` is asked for. */
export interface ApplyOptions {
  readonly team: TeamName;
  readonly text: string;
  readonly source: string;
  /** Revision that the document was made from; the newest when left out. */
  readonly expectedRevision?: number;
}

/** Replaces a team's document. */
export async function applyConfig(
  context: CliContext,
  options: ApplyOptions,
): Promise<ExitCode> {
  const { team, text, source } = options;
  const expectedRevision = options.expectedRevision ??
    rightOf(await context.store.get(TEAM_KEY_PREFIX + team))?.revision ?? 0;
  const written = await writeChange(context.store, {
    team,
    text,
    expectedRevision,
    changeId: context.createChangeId(),
  });
  return written.caseOf<ExitCode>({
    Left: (failure) => printChangeFailure(context, failure, source),
    Right: (revision) => {
      printResult(
        context,
        { team, revision },
        `team ${team} is at revision ${revision}`,
      );
      return EXIT_CODES.ok;
    },
  });
}

/** Checks a team's document without writing it. */
export function checkDocument(
  context: CliContext,
  text: string,
  source: string,
): ExitCode {
  return parseTeamDocument(text).caseOf<ExitCode>({
    Left: (mistakes) =>
      printChangeFailure(context, { kind: "mistakes", mistakes }, source),
    Right: () => {
      printResult(context, { source, isValid: true }, `${source}: valid`);
      return EXIT_CODES.ok;
    },
  });
}

function printChangeFailure(
  context: CliContext,
  failure: ChangeFailure,
  source: string,
): ExitCode {
  switch (failure.kind) {
    case "mistakes":
      context.printError(formatMistakes(source, failure.mistakes));
      return EXIT_CODES.badInput;
    case "conflict":
      context.printError(
        `somebody else changed the document to revision ${
          failure.current?.revision ?? 0
        }; compare with \`ragwort config get\` and apply again`,
      );
      return EXIT_CODES.conflict;
    case "store":
      context.printError(
        `the store did not confirm the change (${failure.failure.detail}); ` +
          "read it with `ragwort config get` before you apply again",
      );
      return EXIT_CODES.unreachable;
    default:
      return assertNever(failure);
  }
}
