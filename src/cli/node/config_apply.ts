/** Writing a team's document: `ragwort config apply`. */

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

/** What `config apply` is asked for. */
export interface ApplyOptions {
  readonly team: TeamName;
  readonly text: string;
  readonly source: string;
  /** Revision that the document was made from; the newest when left out. */
  readonly expectedRevision?: number;
  /** Called with the accepted revision; its exit code is that of the command. */
  onAccepted?(revision: number): Promise<ExitCode>;
}

/** Replaces a team's document. */
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
 * Prints why a change was not accepted and what to do.
 *
 * @param context - Where to print.
 * @param failure - Why it was not accepted.
 * @param document - Name and text of the refused document.
 * @returns The exit code.
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
          "read it with `ragwort config get` before you apply again",
      );
      return EXIT_CODES.unreachable;
    default:
      return assertNever(failure);
  }
}

/** Shows both sides, so that the operator can join them. */
function printConcurrentChange(
  context: CliContext,
  current: StoreEntry | undefined,
  { source, text }: Pick<ApplyOptions, "source" | "text">,
): void {
  const revision = current?.revision ?? 0;
  context.printError(
    `somebody else changed the document to revision ${revision}; join the two ` +
      `and apply again with --from ${revision}`,
  );
  context.printError(`--- revision ${revision} in the store`);
  context.printError(
    current ? stripChangeHeader(current.value) : "(no document)",
  );
  context.printError(`+++ ${source}`);
  context.printError(text);
}
