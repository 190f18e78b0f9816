/** Reading and editing a team's document: `ragwort config`. */

import { parse } from "yaml";
import { asId, type TeamName } from "../../../base/common/ids.ts";
import {
  type AsyncEither,
  Left,
  leftOf,
  Right,
  rightOf,
} from "../../../base/common/result.ts";
import { TEAM_KEY_PREFIX } from "../../../features/configuration/common/configuration.ts";
import {
  stripChangeHeader,
  writeDocument,
} from "../../../features/configuration/common/configuration_writer.ts";
import { diffDocuments, formatDifference } from "../../common/document_diff.ts";
import { getInDocument, setInDocument } from "../../common/document_edit.ts";
import {
  type CliContext,
  EXIT_CODES,
  type ExitCode,
  printResult,
  withProgress,
} from "../cli_context.ts";
import { printChangeFailure } from "../config_apply.ts";
import { queryAllDaemons, reportFailedDaemons } from "../operator_client.ts";
import type { DaemonStatus } from "../status_command.ts";

/** Where the store keeps replaced revisions, one key each. */
const HISTORY_KEY_PREFIX = "config/history/";
const CHANGE_HEADER_PATTERN = /^# (change|deleted): (.*)\n/;
const DELETED_KIND = "deleted";

interface StoredDocument {
  readonly revision: number;
  readonly text: string;
  readonly changeId: string | undefined;
}

interface DocumentPath {
  readonly team: TeamName;
  /** Parts of the path within the team's document. */
  readonly parts: readonly string[];
}

/** Prints a team's document or a part of it. */
export async function getConfig(
  context: CliContext,
  pathText: string,
): Promise<ExitCode> {
  const { team, parts } = parsePath(pathText);
  const read = await readDocument(context, team);
  return read.caseOf<ExitCode>({
    Left: (exitCode) => exitCode,
    Right: ({ revision, text }) =>
      getInDocument(text, parts).caseOf<ExitCode>({
        Left: (detail) => printFailure(context, `team ${team}: ${detail}`),
        Right: (part) => {
          const { text, value } = part;
          printResult(context, { team, revision, value, text }, text.trimEnd());
          return EXIT_CODES.ok;
        },
      }),
  });
}

/** Changes one value of a team's document; its comments stay. */
export async function setConfig(
  context: CliContext,
  pathText: string,
  valueText: string,
): Promise<ExitCode> {
  const { team, parts } = parsePath(pathText);
  if (parts.length === 0) {
    context.printError(
      "say which value, as in: ragwort config set TEAM/PATH 5",
    );
    return EXIT_CODES.badInput;
  }
  const read = await readDocument(context, team);
  const stored = rightOf(read);
  if (!stored) return leftOf(read) ?? EXIT_CODES.failed;
  const edited = setInDocument(stored.text, parts, valueText);
  const text = rightOf(edited);
  if (text === undefined) {
    context.printError(`${pathText}: ${leftOf(edited)}`);
    return EXIT_CODES.badInput;
  }
  const written = await withProgress(
    context,
    "writing to the store",
    writeDocument(context.store, {
      team,
      text,
      expectedRevision: stored.revision,
      changeId: context.createChangeId(),
    }),
  );
  return written.caseOf<ExitCode>({
    Left: (failure) =>
      printChangeFailure(context, failure, { source: `team ${team}`, text }),
    Right: (revision) => {
      const changed = `team ${team} is at revision ${revision}`;
      printResult(context, { team, revision }, changed);
      return EXIT_CODES.ok;
    },
  });
}

/** Prints how a file differs from a team's document in the store. */
export async function diffConfig(
  context: CliContext,
  team: TeamName,
  fileText: string,
): Promise<ExitCode> {
  const read = await readDocument(context, team);
  return read.caseOf<ExitCode>({
    Left: (exitCode) => exitCode,
    Right: ({ revision, text }) => {
      const differences = diffDocuments(parse(text), parse(fileText));
      const lines = differences.map(formatDifference);
      printResult(
        context,
        { team, revision, differences },
        lines.length === 0 ? "no difference" : lines.join("\n"),
      );
      return EXIT_CODES.ok;
    },
  });
}

/**
 * Prints the revisions of a team's document, the newest first, and which one
 * each daemon has in force.
 */
export async function showHistory(
  context: CliContext,
  team: TeamName,
): Promise<ExitCode> {
  const read = await readDocument(context, team);
  const stored = rightOf(read);
  if (!stored) return leftOf(read) ?? EXIT_CODES.failed;
  const listing = await context.store.list(`${HISTORY_KEY_PREFIX}${team}/`);
  const failure = leftOf(listing);
  if (failure) {
    context.printError(`the history cannot be read: ${failure.detail}`);
    return EXIT_CODES.unreachable;
  }
  const older = (rightOf(listing)?.entries ?? []).map(({ key, value }) => ({
    revision: Number(key.slice(key.lastIndexOf("/") + 1)),
    changeId: parseChangeHeader(value)?.changeId,
  })).sort((left, right) => right.revision - left.revision);
  for (const { revision, changeId } of [stored, ...older]) {
    const line = `revision ${revision}, change ${changeId ?? "without an id"}`;
    printResult(context, { team, revision, changeId }, line);
  }
  return await showRevisionsInForce(context, team, stored.revision);
}

async function showRevisionsInForce(
  context: CliContext,
  team: TeamName,
  revision: number,
): Promise<ExitCode> {
  if (context.daemons.length === 0) return EXIT_CODES.ok;
  const answers = await queryAllDaemons<DaemonStatus>(context, "/status");
  for (const { result } of answers) {
    result.ifRight(({ host, teams }) => {
      const inForce = teams.find((status) => status.team === team)?.revision;
      printResult(
        context,
        { host, revision: inForce, isNewest: inForce === revision },
        `${host} has revision ${inForce ?? "none"} in force`,
      );
    });
  }
  const areAllReachable = reportFailedDaemons(context, answers);
  return areAllReachable ? EXIT_CODES.ok : EXIT_CODES.unreachable;
}

async function readDocument(
  context: CliContext,
  team: TeamName,
): AsyncEither<ExitCode, StoredDocument> {
  const read = await withProgress(
    context,
    "reading from the store",
    context.store.get(TEAM_KEY_PREFIX + team),
  );
  const failure = leftOf(read);
  if (failure) {
    context.printError(
      `the store gave no answer (${failure.detail}); try again, or name ` +
        "another of its addresses with --store",
    );
    return Left(EXIT_CODES.unreachable);
  }
  const entry = rightOf(read);
  const header = entry && parseChangeHeader(entry.value);
  if (!entry || header?.kind === DELETED_KIND) {
    const advice = `make one with: ragwort config apply ${team} FILE`;
    return Left(
      printFailure(context, `team ${team} has no document; ${advice}`),
    );
  }
  const { value, revision } = entry;
  const text = stripChangeHeader(value);
  return Right({ revision, text, changeId: header?.changeId });
}

/** Reads the first line of a stored value, which names its change. */
function parseChangeHeader(
  value: string,
): { readonly kind: string; readonly changeId: string } | undefined {
  const [, kind, changeId] = CHANGE_HEADER_PATTERN.exec(value) ?? [];
  if (kind === undefined || changeId === undefined) return undefined;
  return { kind, changeId };
}

function parsePath(text: string): DocumentPath {
  const [team = "", ...parts] = text.split("/").filter((part) => part !== "");
  return { team: asId<TeamName>(team), parts };
}

function printFailure(context: CliContext, message: string): ExitCode {
  context.printError(message);
  return EXIT_CODES.failed;
}
