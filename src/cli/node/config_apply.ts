/** `ragwort config apply`: replaces a team's configuration document. */

import type { TeamName } from "../../base/common/ids.ts";
import { rightOf } from "../../base/common/result.ts";
import { assertNever } from "../../base/common/errors.ts";
import { TEAM_KEY_PREFIX } from "../../features/configuration/common/configuration.ts";
import {
  type DocumentChangeFailure,
  stripChangeHeader,
  writeDocument,
} from "../../features/configuration/common/configuration_writer.ts";
import type { StoreEntry } from "../../services/store/common/store_client.ts";
import { formatValidationErrors } from "../../services/settings/common/yaml_validation.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
} from "./cli_context.ts";

/** Options of `ragwort config apply`. */
export interface ApplyOptions {
  readonly team: TeamName;
  readonly text: string;
  readonly source: string;
  /** Revision on which the document is based; the latest one by default. */
  readonly expectedRevision?: number;
  /** Called with the written revision; returns the exit code of the command. */
  onAccepted?(revision: number): Promise<ExitCode>;
}

/** Replaces a team's document and prints the new revision. */
export async function applyConfig(
  context: CliContext,
  options: ApplyOptions,
): Promise<ExitCode> {
  const { team, text } = options;
  const expectedRevision = options.expectedRevision ??
    rightOf(await context.store.get(TEAM_KEY_PREFIX + team))?.revision ?? 0;
  const written = await writeDocument(context.store, {
    team,
    text,
    expectedRevision,
    changeId: context.createChangeId(),
  });
  return await written.caseOf<ExitCode | Promise<ExitCode>>({
    Left: (failure) => printChangeFailure(context, failure, options),
    Right: (revision) => {
      printResult(
        context,
        { team, revision },
        `team ${team} is at revision ${revision}`,
      );
      return options.onAccepted?.(revision) ?? EXIT_CODES.ok;
    },
  });
}

/**
 * Prints why a change failed and how to resolve the failure.
 *
 * @param context - Context to print to.
 * @param failure - Reason of the failure.
 * @param document - Name and text of the document that was not written.
 * @returns The exit code of the command.
 */
export function printChangeFailure(
  context: CliContext,
  failure: DocumentChangeFailure,
  { source, text }: Pick<ApplyOptions, "source" | "text">,
): ExitCode {
  switch (failure.kind) {
    case "mistakes":
      context.printError(formatValidationErrors(source, failure.mistakes));
      return EXIT_CODES.badInput;
    case "conflict":
      printConcurrentChange(context, failure.current, { source, text });
      return EXIT_CODES.conflict;
    case "store":
      context.printError(
        `the store did not confirm the change (${failure.failure.detail}); ` +
          "check the document with `ragwort config get` before retrying",
      );
      return EXIT_CODES.unreachable;
    default:
      return assertNever(failure);
  }
}

/** Prints both versions of the document, so that the operator can merge them. */
function printConcurrentChange(
  context: CliContext,
  current: StoreEntry | undefined,
  { source, text }: Pick<ApplyOptions, "source" | "text">,
): void {
  const revision = current?.revision ?? 0;
  context.printError(
    `the document was changed concurrently to revision ${revision}; merge the ` +
      `versions and apply the result with --from ${revision}`,
  );
  context.printError(`--- revision ${revision} in the store`);
  context.printError(
    current ? stripChangeHeader(current.value) : "(no document)",
  );
  context.printError(`+++ ${source}`);
  context.printError(text);
}
