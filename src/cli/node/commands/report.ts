/** `ragwort report`. */

import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { basename, dirname, join } from "node:path";
import { toErrorMessage } from "../../../base/common/errors.ts";
import {
  attempt,
  type Either,
  leftOf,
  rightOf,
} from "../../../base/common/result.ts";
import { createReportPage, type ReportPage } from "../../common/report_page.ts";
import {
  type BenchRow,
  createBenchReport,
  createLiveReport,
} from "../../common/report_plots.ts";
import { type CliContext, EXIT_CODES, type ExitCode } from "../cli_context.ts";
import { collectMetrics } from "../metrics_collection.ts";
import {
  type AddCommand,
  type GlobalOptions,
  withFile,
  writeResultFile,
} from "../shell.ts";

const DEFAULT_PAGE = "report.html";
const CHART_SCRIPT = "chart.umd.min.js";

interface ReportOptions extends GlobalOptions {
  readonly out?: string;
}

/** Adds the command. */
export const addReportCommand: AddCommand = (cli, shell) => {
  cli.command(
    "report [file]",
    "Write one HTML page of a bench's JSON rows, or of the live figures",
  )
    .option("--out <page>", "Page to write", { default: DEFAULT_PAGE })
    .example("npm run -s bench -- metrics --json > rows.json")
    .example("ragwort report rows.json --out metrics.html")
    .example("ragwort report --daemons 10.0.0.1:9642 --out live.html")
    .action((file: string | undefined, options: ReportOptions) =>
      shell.run(options, (context) => {
        const out = options.out ?? DEFAULT_PAGE;
        return file === undefined
          ? reportLive(context, out)
          : reportRows(context, file, out);
      })
    );
};

async function reportRows(
  context: CliContext,
  file: string,
  out: string,
): Promise<ExitCode> {
  return await withFile(context, file, (text) => {
    const parsed = parseRows(text);
    const rows = rightOf(parsed);
    if (rows && rows.length > 0) {
      return writePage(context, createBenchReport(basename(file), rows), out);
    }
    context.printError(
      `${file} must hold one JSON object a line, as a bench prints with ` +
        `--json: ${leftOf(parsed) ?? "no line"}`,
    );
    return EXIT_CODES.badInput;
  });
}

async function reportLive(context: CliContext, out: string): Promise<ExitCode> {
  const { daemons, areComplete } = await collectMetrics(context);
  if (daemons.length === 0) return EXIT_CODES.unreachable;
  const hosts = daemons.map(({ host }) => host).join(", ");
  const page = createLiveReport(`Figures of ${hosts}`, daemons);
  const exitCode = writePage(context, page, out);
  return areComplete ? exitCode : EXIT_CODES.unreachable;
}

/** Lines that are no JSON object, such as remarks of npm, are not allowed. */
function parseRows(text: string): Either<string, BenchRow[]> {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  return attempt(
    () => lines.map((line) => JSON.parse(line) as BenchRow),
    toErrorMessage,
  );
}

function writePage(
  context: CliContext,
  page: ReportPage,
  out: string,
): ExitCode {
  return writeResultFile(context, out, createReportPage(page, chartScript()));
}

/** The whole chart library, so that the page needs no network. */
function chartScript(): string {
  const entry = createRequire(import.meta.url).resolve("chart.js");
  return readFileSync(join(dirname(entry), CHART_SCRIPT), "utf8");
}
